#ifndef TAMARACKHOIST_PEERS_PEER_SERVER_HPP
#define TAMARACKHOIST_PEERS_PEER_SERVER_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tamarackhoist/peers/gossip_message.hpp>
#include <tamarackhoist/peers/http2_channel.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/transport/endpoint.hpp>

namespace tamarackhoist::peers
{

/// A call received from a peer. Thread-safe.
class incoming_call
{
public:
    incoming_call(std::shared_ptr<http2_channel> channel,
                  http2_channel::stream_id stream, call_path path,
                  std::string body);

    [[nodiscard]] call_path path() const { return path_; }
    [[nodiscard]] const std::string& body() const { return body_; }
    /// Sends one reply message.
    void reply(std::string message) const;
    /// Ends the replies.
    void finish() const;

private:
    std::shared_ptr<http2_channel> channel_;
    http2_channel::stream_id stream_;
    call_path path_;
    std::string body_;
};

/// Listens on the peer port of a node: for calls over TCP and for gossip over
/// UDP. Must be owned by a shared pointer.
class peer_server : public std::enable_shared_from_this<peer_server>
{
public:
    struct hooks {
        /// Called for each complete call, on any thread.
        std::function<void(const std::shared_ptr<incoming_call>&)> on_call;
        /// Called for each valid gossip datagram, one at a time, on
        /// `gossip_executor`.
        std::function<void(const gossip_message&)> on_gossip;
    };

    /// Opens the TCP and UDP sockets. Returns the error text if one of them
    /// cannot be opened.
    [[nodiscard]] static runtime::result<std::shared_ptr<peer_server>,
                                         std::string>
    create(const boost::asio::any_io_executor& executor,
           const transport::endpoint& listen_on, hooks callbacks);

    void start();

    /// Stops accepting connections and receiving datagrams. Open connections
    /// stay.
    void stop();

    /// Sends one datagram; errors are ignored, as for a lost datagram.
    void send_gossip(const transport::endpoint& target,
                     const gossip_message& message);

    /// Returns the strand on which gossip is handled.
    [[nodiscard]] boost::asio::any_io_executor gossip_executor()
    {
        return gossip_socket_.get_executor();
    }

private:
    peer_server(boost::asio::any_io_executor executor,
                boost::asio::ip::tcp::acceptor acceptor,
                boost::asio::ip::udp::socket gossip_socket, hooks callbacks);

    void accept_next_connection();
    void serve_connection(boost::asio::ip::tcp::socket socket);
    void receive_next_datagram();

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::udp::socket gossip_socket_;
    const hooks hooks_;
    std::array<char, 2 * max_datagram_bytes> datagram_buffer_{};
    boost::asio::ip::udp::endpoint datagram_sender_;
    bool is_stopped_ = false;
};

} // namespace tamarackhoist::peers

#endif
