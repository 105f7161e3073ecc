#ifndef TAMARACKHOIST_PEERS_PEER_LINK_HPP
#define TAMARACKHOIST_PEERS_PEER_LINK_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <tamarackhoist/peers/http2_channel.hpp>
#include <tamarackhoist/transport/endpoint.hpp>

namespace tamarackhoist::peers
{

/// How a call to a peer ended.
enum class call_end {
    /// The peer sent all of its replies.
    clean,
    /// No connection was available, so the request was not sent.
    not_sent,
    /// The stream was reset or the connection failed after the request was
    /// passed to the connection; the peer may or may not have handled it.
    interrupted
};

/// Client connection to one peer. It is opened by the first call and opened
/// again by the next call after a failure. Thread-safe; must be owned by a
/// shared pointer.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using message_handler = std::function<void(std::string_view)>;
    using end_handler = std::function<void(call_end)>;

    [[nodiscard]] static std::shared_ptr<peer_link>
    create(const boost::asio::any_io_executor& executor,
           transport::endpoint peer);

    /// Calls `on_message` for each reply message, then `on_end` once.
    void call(call_path path, std::string body, message_handler on_message,
              end_handler on_end);

    /// Closes the connection for good; open calls end, and later ones are not
    /// sent.
    void close();

private:
    struct pending_call {
        call_path path;
        std::string body;
        message_handler on_message;
        end_handler on_end;
    };

    peer_link(const boost::asio::any_io_executor& executor,
              transport::endpoint peer);

    void connect();
    void on_connected(bool is_connected);
    void send(pending_call call);
    void end_pending_calls();

    boost::asio::strand<boost::asio::any_io_executor> strand_;
    const transport::endpoint peer_;
    std::shared_ptr<http2_channel> channel_;
    std::deque<pending_call> pending_;
    bool is_connecting_ = false;
    bool is_closed_ = false;
};

} // namespace tamarackhoist::peers

#endif
