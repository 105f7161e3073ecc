#ifndef TAMARACKHOIST_TRANSPORT_HTTP_CONNECTION_HPP
#define TAMARACKHOIST_TRANSPORT_HTTP_CONNECTION_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <tamarackhoist/transport/http_message.hpp>

namespace tamarackhoist::transport
{

/// How an exchange over an HTTP connection ended.
enum class exchange_status {
    /// A complete response was received.
    answered,
    /// No byte of the request was written.
    not_sent,
    /// The connection failed, timed out or was closed after a write was
    /// started, so the server may have received the request.
    broken
};

/// Outcome of an exchange. `response` is set only if the status is `answered`.
struct exchange_result {
    exchange_status status = exchange_status::broken;
    http_response response;
    /// Whether a `broken` exchange failed because the response was longer than
    /// `http_connection::max_response_bytes`.
    bool is_response_too_large = false;
};

/// HTTP/1.1 client connection that carries one exchange at a time. Methods and
/// handlers run on the executor given at construction, which must be a strand
/// or single-threaded. A failed connection cannot be used again.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    static constexpr std::size_t max_response_bytes = 4 * 1024 * 1024;

    [[nodiscard]] static std::shared_ptr<http_connection>
    create(boost::asio::any_io_executor executor);

    using connect_handler = std::function<void(bool is_connected)>;
    /// Connects to `target` and calls `handle` once, at the latest after
    /// `timeout`.
    void connect(const endpoint& target, runtime::duration timeout,
                 connect_handler handle);

    using exchange_handler = std::function<void(exchange_result)>;
    /// Sends `request` and calls `handle` once with the result. The exchange
    /// ends as `broken` if it takes longer than `timeout`. While another
    /// exchange is pending, it ends as `not_sent`: both would share the timeout
    /// of the connection, and the end of one would take it away from the other.
    void exchange(http_request request, runtime::duration timeout,
                  exchange_handler handle);

    /// Calls `handle` when the peer closes the connection while it is idle.
    void watch_idle(std::function<void()> handle);

    /// Closes the connection. A pending exchange ends as `broken`.
    void close();

    [[nodiscard]] bool is_open() const { return is_open_; }
    /// Whether the connection is open and no exchange is pending on it.
    [[nodiscard]] bool is_idle() const { return is_open_ && !is_busy_; }

private:
    /// Whether the idle connection was closed by the peer or received data,
    /// which belongs to no request.
    [[nodiscard]] bool has_unexpected_data();

    explicit http_connection(boost::asio::any_io_executor executor);

    boost::asio::awaitable<void> run_connect(endpoint target,
                                             runtime::duration timeout,
                                             connect_handler handle);
    boost::asio::awaitable<void> run_exchange(http_request request,
                                              runtime::duration timeout,
                                              exchange_handler handle);

    boost::asio::any_io_executor executor_;
    boost::beast::tcp_stream stream_;
    bool is_open_ = false;
    bool is_busy_ = false;
};

/// Sends one request on a connection of its own, which is closed afterwards.
/// `timeout` applies separately to connecting and to the exchange.
void exchange_once(boost::asio::any_io_executor executor,
                   const endpoint& target, http_request request,
                   runtime::duration timeout,
                   http_connection::exchange_handler handle);

} // namespace tamarackhoist::transport

#endif
