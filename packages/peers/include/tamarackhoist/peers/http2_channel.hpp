#ifndef TAMARACKHOIST_PEERS_HTTP2_CHANNEL_HPP
#define TAMARACKHOIST_PEERS_HTTP2_CHANNEL_HPP

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct nghttp2_session;

namespace tamarackhoist::peers
{

/// Request path of one call between nodes.
enum class call_path : std::uint8_t {
    sub_requests,
    cancel,
    order,
    document,
    push,
    members,
    /// Sends part of a fan-out to upstreams near the receiver.
    relay,
    relay_cancel,
    /// Asks for all news that the receiver knows.
    news_pull,
    /// Passes news on.
    news_push,
    unknown
};

/// One connection between two nodes, as HTTP/2 without TLS.
///
/// A call is one stream: a request message, then any number of reply
/// messages, each framed by its length. Methods are thread-safe: they run
/// on the channel's strand. Must be owned by a shared pointer.
class http2_channel : public std::enable_shared_from_this<http2_channel>
{
public:
    /// Largest request or reply message.
    static constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;

    using stream_id = std::int32_t;

    /// Receives the messages of one call and its end. `is_clean` is false
    /// when the stream was cut off.
    struct reply_events {
        std::function<void(std::string_view)> on_message;
        std::function<void(bool is_clean)> on_close;
    };

    struct server_events {
        /// A call arrived whole.
        std::function<void(stream_id, call_path, std::string body)> on_call;
    };

    /// Wraps a connected socket whose executor is a strand.
    [[nodiscard]] static std::shared_ptr<http2_channel>
    create_client(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] static std::shared_ptr<http2_channel>
    create_server(boost::asio::ip::tcp::socket socket, server_events events);

    ~http2_channel();
    http2_channel(const http2_channel&) = delete;
    http2_channel& operator=(const http2_channel&) = delete;

    /// Starts to read. `on_closed` is called once, when the connection ends.
    void start(std::function<void()> on_closed);

    /// Client: sends a call.
    void call(call_path path, std::string body, reply_events events);

    /// Server: sends a reply message.
    void reply(stream_id stream, std::string message);

    /// Server: ends the replies of a call.
    void finish(stream_id stream);

    /// Closes the connection; every open call ends.
    void close();

private:
    enum class role { client, server };

    struct stream_state {
        call_path path = call_path::unknown;
        /// Received bytes that are not delivered yet.
        std::string received;
        /// Bytes to send.
        std::deque<std::string> outgoing;
        std::size_t outgoing_offset = 0;
        bool is_finished = false;
        bool is_deferred = false;
        reply_events events;
    };

    friend struct http2_callbacks;

    http2_channel(boost::asio::ip::tcp::socket socket, role side,
                  server_events events);

    void open_session();
    void read_some();
    void flush();
    void fail();
    bool deliver(stream_state& stream);
    void on_stream_end(stream_id id);
    void on_stream_closed(stream_id id, bool is_clean);
    std::ptrdiff_t read_outgoing(stream_id id, std::uint8_t* buffer,
                                 std::size_t length, std::uint32_t* flags);

    boost::asio::ip::tcp::socket socket_;
    const role role_;
    const server_events server_events_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<stream_id, stream_state> streams_;
    std::function<void()> on_closed_;
    std::array<std::uint8_t, 64 * 1024> read_buffer_{};
    std::string write_buffer_;
    bool is_writing_ = false;
    bool is_closed_ = false;
};

/// Returns the request path of a call, and the call of a path.
[[nodiscard]] std::string_view to_path(call_path path);
[[nodiscard]] call_path to_call_path(std::string_view path);

} // namespace tamarackhoist::peers

#endif
