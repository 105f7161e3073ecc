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

/// Kind of a call between nodes; each has its own request path.
enum class call_path : std::uint8_t {
    sub_requests,
    cancel,
    /// Forwards an order to the node that issued its ticket.
    order,
    /// Requests sections of the receiver's configuration document.
    document,
    /// Sends changed sections of the configuration document.
    push,
    /// Requests the receiver's full member list.
    members,
    /// Delegates part of a fan-out to a node near the upstreams.
    relay,
    relay_cancel,
    /// Requests all configuration items that the receiver knows.
    store_pull,
    /// Sends changed configuration items.
    store_push,
    unknown
};

/// A connection between two nodes that speaks HTTP/2 without TLS.
///
/// Each call is one stream: a request message, followed by any number of reply
/// messages, each prefixed by its length. Methods are thread-safe: they post
/// their work to the channel's strand. Must be owned by a shared pointer.
class http2_channel : public std::enable_shared_from_this<http2_channel>
{
public:
    /// Maximum size of a request or reply message.
    static constexpr std::size_t max_message_bytes = 4 * 1024 * 1024;
    /// Limit of the incomplete messages of all streams together. The connection
    /// is closed beyond it.
    static constexpr std::size_t max_buffered_bytes = 4 * max_message_bytes;

    using stream_id = std::int32_t;

    /// Callbacks of one call: one for each reply message, and one for its end.
    /// `is_clean` is false when the stream was reset, the connection failed,
    /// the peer did not accept the call or its last message is incomplete.
    struct reply_events {
        std::function<void(std::string_view)> on_message;
        std::function<void(bool is_clean)> on_close;
    };

    struct server_events {
        /// Called when a complete request has arrived.
        std::function<void(stream_id, call_path, std::string body)> on_call;
    };

    /// Takes over a connected socket, whose executor must be a strand.
    [[nodiscard]] static std::shared_ptr<http2_channel>
    create_client(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] static std::shared_ptr<http2_channel>
    create_server(boost::asio::ip::tcp::socket socket, server_events events);

    ~http2_channel();
    http2_channel(const http2_channel&) = delete;
    http2_channel& operator=(const http2_channel&) = delete;

    /// Starts reading. `on_closed` is called once, when the connection closes.
    void start(std::function<void()> on_closed);

    /// Client: sends a request.
    void call(call_path path, std::string body, reply_events events);

    /// Server: sends a reply message.
    void reply(stream_id stream, std::string message);

    /// Server: ends the replies of a call.
    void finish(stream_id stream);

    /// Closes the connection; open calls end with `is_clean` false. What the
    /// peer has not received yet is discarded.
    void close();

private:
    enum class role { client, server };

    struct stream_state {
        call_path path = call_path::unknown;
        /// Received bytes that have not been delivered yet.
        std::string received;
        /// Messages to send.
        std::deque<std::string> outgoing;
        /// Bytes of the first outgoing message that have been sent.
        std::size_t outgoing_offset = 0;
        /// Set when no more messages will be added to `outgoing`.
        bool is_finished = false;
        /// Set while nghttp2 waits for more data to send.
        bool is_deferred = false;
        /// Client: whether the peer has accepted the call. The content of any
        /// other response is not a reply.
        bool is_accepted = false;
        reply_events events;
    };

    friend struct http2_callbacks;

    http2_channel(boost::asio::ip::tcp::socket socket, role side,
                  server_events events);

    void create_session();
    void read_some();
    void flush();
    void close_now();
    void on_header(stream_id id, std::string_view name, std::string_view value);
    /// Adds received bytes to a stream. Returns false if they are too many.
    bool receive(stream_state& stream, std::string_view bytes);
    /// Passes complete reply messages on. Returns false if one is too large.
    bool deliver_messages(stream_state& stream);
    void on_message_end(stream_id id);
    void on_stream_closed(stream_id id, bool is_clean);
    /// Copies outgoing bytes into `buffer`, as a data source of nghttp2.
    std::ptrdiff_t read_outgoing(stream_id id, std::uint8_t* buffer,
                                 std::size_t length, std::uint32_t* flags);

    boost::asio::ip::tcp::socket socket_;
    const role role_;
    const server_events server_events_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<stream_id, stream_state> streams_;
    /// Sum of `stream_state::received` over all streams.
    std::size_t buffered_bytes_ = 0;
    std::function<void()> on_closed_;
    std::array<std::uint8_t, 64 * 1024> read_buffer_{};
    std::string write_buffer_;
    bool is_writing_ = false;
    bool is_closed_ = false;
};

/// Returns the request path of a call; "/" for `unknown`.
[[nodiscard]] std::string_view to_path(call_path path);

/// Returns the call with the request path `path`, or `unknown`.
[[nodiscard]] call_path to_call_path(std::string_view path);

} // namespace tamarackhoist::peers

#endif
