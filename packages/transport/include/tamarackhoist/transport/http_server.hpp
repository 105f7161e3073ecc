#ifndef TAMARACKHOIST_TRANSPORT_HTTP_SERVER_HPP
#define TAMARACKHOIST_TRANSPORT_HTTP_SERVER_HPP

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <tamarackhoist/transport/http_message.hpp>

namespace tamarackhoist::transport
{

/// Limits that protect a server from slow or oversized requests.
struct http_server_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    /// For a further connection, the one is closed whose client has kept the
    /// server waiting longest; without such a client, the new one is closed.
    std::size_t max_connections = 4096;
    /// Time limit for receiving a whole request or sending a whole response.
    /// Also the time after which an idle connection is closed.
    runtime::duration read_timeout = std::chrono::seconds(30);
};

/// HTTP/1.1 server with keep-alive. Responds to the requests of a connection
/// in order. Must be owned by a shared pointer.
class http_server : public std::enable_shared_from_this<http_server>
{
public:
    /// Sends the response to a request.
    using respond = std::function<void(http_response)>;
    /// Handles one request. Must call `respond` exactly once, from any thread.
    using handler = std::function<void(const http_request&, respond)>;

    /// Listens on `listen_endpoint`; port 0 selects a free port. The error
    /// names the endpoint and the reason.
    [[nodiscard]] static runtime::result<std::shared_ptr<http_server>,
                                         std::string>
    create(boost::asio::any_io_executor executor,
           const endpoint& listen_endpoint, http_server_limits limits,
           handler handle);

    /// Starts accepting connections.
    void start();

    /// Stops accepting connections. Requests in flight still get a response,
    /// which tells the client that the connection closes.
    void stop();

    /// Number of requests whose response is not yet sent.
    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return in_flight_.load();
    }
    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

private:
    using stream_type = boost::beast::tcp_stream;

    http_server(boost::asio::any_io_executor executor,
                boost::asio::ip::tcp::acceptor acceptor,
                http_server_limits limits, handler handle);

    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void>
    serve_connection(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<http_response>
    handle_request(const http_request& request);
    /// Whether a connection can be accepted, if need be in place of another.
    bool make_room();
    /// Notes that the server waits for the client of `stream`. Returns the
    /// position of the client among those that it waits for.
    std::uint64_t start_wait(const std::shared_ptr<stream_type>& stream);
    void end_wait(std::uint64_t position);

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const http_server_limits limits_;
    const handler handle_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<std::size_t> in_flight_{0};
    std::atomic<std::size_t> connections_{0};
    std::mutex waits_mutex_;
    /// Connections whose clients the server waits for, in the order in which
    /// the waits began.
    std::map<std::uint64_t, std::shared_ptr<stream_type>> waits_;
    std::uint64_t next_wait_ = 0;
};

} // namespace tamarackhoist::transport

#endif
