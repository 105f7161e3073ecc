#ifndef TAMARACKHOIST_UPSTREAMS_FORWARD_CONNECTION_HPP
#define TAMARACKHOIST_UPSTREAMS_FORWARD_CONNECTION_HPP

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <tamarackhoist/transport/http_message.hpp>
#include <tamarackhoist/upstreams/response_fault.hpp>
#include <tamarackhoist/upstreams/response_reader.hpp>

namespace tamarackhoist::upstreams
{

/// Serialized HTTP request to one upstream.
struct forward_request {
    /// Request line, header and body.
    std::string bytes;
    /// A response is accepted only if it carries this ID in the field
    /// `response_reader::options::request_id_field`.
    std::string request_id;
    /// Whether the method is HEAD, whose response has no body.
    bool is_head = false;
};

/// How an exchange with an upstream ended.
enum class forward_status {
    /// The upstream sent a complete response.
    answered,
    /// Nothing was written, so the request was not executed.
    not_sent,
    /// Nothing was written, because the upstream must get no request now.
    withheld,
    /// After writing had begun, the connection was lost or the upstream
    /// violated the protocol. The request may have been executed.
    broken
};

struct forward_result {
    forward_status status = forward_status::broken;
    /// Empty unless `status` is `answered`.
    transport::http_response response;
};

/// Persistent connection to an upstream that carries one exchange at a time.
/// It is closed for good when unexpected data arrives. All calls and handlers
/// run on the thread of the `io_context`.
class forward_connection
    : public std::enable_shared_from_this<forward_connection>
{
public:
    struct options {
        transport::endpoint target;
        response_reader::options responses;
        runtime::duration connect_timeout = std::chrono::seconds(1);
        /// Called when the connection is closed because of what the upstream
        /// sent; may be empty.
        std::function<void(response_fault)> on_rejected = nullptr;
    };

    /// Starts to connect. `on_opened` is called once with the outcome,
    /// `on_closed` once when a connection that was open has been closed.
    /// Neither is called for a connection closed before it opened.
    [[nodiscard]] static std::shared_ptr<forward_connection>
    create(boost::asio::io_context& context, runtime::clock clock,
           options options, std::function<void(bool is_open)> on_opened,
           std::function<void()> on_closed);

    using result_handler = std::function<void(forward_result)>;

    /// Sends `request` on an idle connection. `handle` is called once, never
    /// from within this call.
    void exchange(forward_request request, result_handler handle);

    /// Closes the connection. The handler of a pending exchange is not called.
    void close();

    [[nodiscard]] bool is_idle() const { return is_open_ && !is_busy_; }

    /// Whether the connection has been idle for so long that the upstream may
    /// have closed it.
    [[nodiscard]] bool is_stale() const;

    /// Time since the last exchange ended or, before the first, since the
    /// connection opened.
    [[nodiscard]] runtime::duration idle_time() const;

private:
    forward_connection(boost::asio::io_context& context, runtime::clock clock,
                       options options,
                       std::function<void(bool is_open)> on_opened,
                       std::function<void()> on_closed);

    void start_connect();
    void finish_connect(bool is_open);
    void set_socket_options();
    void read();
    void handle_read(boost::system::error_code error, std::string_view bytes);
    void handle_progress(response_reader::progress progress);
    void handle_complete_response();
    void reject(response_fault fault);
    void write_remaining(std::size_t written);
    void finish_write();
    void update_idle_timeout(const transport::http_response& response);
    void fail();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    const runtime::clock clock_;
    const options options_;
    std::function<void(bool)> on_opened_;
    std::function<void()> on_closed_;

    bool is_open_ = false;
    bool is_busy_ = false;
    bool is_request_written_ = false;
    forward_request request_;
    result_handler handle_;
    response_reader reader_;
    runtime::time_point idle_since_{};
    /// Time after which the upstream closes the idle connection.
    runtime::duration idle_timeout_ = std::chrono::seconds(4);
};

} // namespace tamarackhoist::upstreams

#endif
