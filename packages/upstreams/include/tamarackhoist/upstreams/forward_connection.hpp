#ifndef TAMARACKHOIST_UPSTREAMS_FORWARD_CONNECTION_HPP
#define TAMARACKHOIST_UPSTREAMS_FORWARD_CONNECTION_HPP

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <tamarackhoist/transport/http_message.hpp>

namespace tamarackhoist::upstreams
{

/// Request to one upstream in the form in which it is written.
struct forward_request {
    /// Request line, header and body.
    std::string bytes;
    /// The answer must bear this identity.
    std::string request_id;
    /// Answers to HEAD have no body.
    bool is_head = false;
};

/// How an exchange with an upstream ended.
enum class forward_status {
    answered,
    /// The connection ended before any byte was written.
    not_sent,
    /// The connection ended or broke the protocol after a write.
    broken
};

struct forward_result {
    forward_status status = forward_status::broken;
    transport::http_response response;
};

/// One kept connection to an upstream, for one exchange at a time. A
/// connection on which anything unexpected arrives is closed and never used
/// again. All calls and handlers run on the thread of the `io_context`.
class forward_connection
    : public std::enable_shared_from_this<forward_connection>
{
public:
    struct options {
        transport::endpoint target;
        /// Name of the header field that carries the request's identity.
        std::string request_id_field;
        runtime::duration connect_timeout = std::chrono::seconds(1);
        std::size_t max_response_bytes = 4 * 1024 * 1024;
    };

    /// Starts to connect. `opened` is called once with the outcome; `closed`
    /// once when an opened connection has ended.
    [[nodiscard]] static std::shared_ptr<forward_connection>
    create(boost::asio::io_context& context, runtime::clock clock,
           options options, std::function<void(bool is_open)> opened,
           std::function<void()> closed);

    using result_handler = std::function<void(forward_result)>;

    /// Sends `request`; `handle` is called once, not from within this call.
    void exchange(forward_request request, result_handler handle);

    /// Closes the connection. A pending exchange ends without a result.
    void close();

    [[nodiscard]] bool is_idle() const { return is_open_ && !is_busy_; }

    /// Whether the upstream may have closed the idle connection by now.
    [[nodiscard]] bool is_stale() const;

    /// Time since the last exchange or the opening.
    [[nodiscard]] runtime::duration idle_time() const;

private:
    using parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    forward_connection(boost::asio::io_context& context, runtime::clock clock,
                       options options,
                       std::function<void(bool is_open)> opened,
                       std::function<void()> closed);

    void start_connect();
    void connect_ended(bool is_open);
    void set_options();
    void read();
    void read_ended(boost::system::error_code error, std::string_view bytes);
    void parse();
    void message_complete();
    void begin_message();
    void write_rest(std::size_t written);
    void learn_idle_timeout(const transport::http_response& response);
    void fail();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_timer_;
    const runtime::clock clock_;
    const options options_;
    std::function<void(bool)> opened_;
    std::function<void()> closed_;

    bool is_open_ = false;
    bool is_busy_ = false;
    bool is_written_ = false;
    forward_request request_;
    result_handler handle_;
    std::optional<parser_type> parser_;
    std::string unparsed_;
    runtime::time_point idle_since_{};
    runtime::duration idle_timeout_ = std::chrono::seconds(4);
};

} // namespace tamarackhoist::upstreams

#endif
