#include <tamarackhoist/peers/peer_server.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::peers
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace
{

constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

} // namespace

incoming_call::incoming_call(std::shared_ptr<http2_channel> channel,
                             http2_channel::stream_id stream, call_path path,
                             std::string body)
    : channel_(std::move(channel)), stream_(stream), path_(path),
      body_(std::move(body))
{
}

void incoming_call::reply(std::string message) const
{
    channel_->reply(stream_, std::move(message));
}

void incoming_call::finish() const
{
    channel_->finish(stream_);
}

runtime::result<std::shared_ptr<peer_server>, std::string>
peer_server::create(const asio::any_io_executor& executor,
                    const transport::endpoint& listen_on, hooks callbacks)
{
    const auto address = asio::ip::make_address(listen_on.address);
    const auto strand = asio::make_strand(executor);
    tcp::acceptor acceptor(strand);
    udp::socket gossip_socket(strand);
    boost::system::error_code error;
    acceptor.open(address.is_v6() ? tcp::v6() : tcp::v4(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind({address, listen_on.port}, error);
    }
    if (!error) {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (!error) {
        gossip_socket.open(address.is_v6() ? udp::v6() : udp::v4(), error);
    }
    if (!error) {
        gossip_socket.bind({address, acceptor.local_endpoint().port()}, error);
    }
    if (error) {
        return "cannot listen on " + listen_on.to_text() + ": " +
               error.message();
    }
    return std::shared_ptr<peer_server>(
        new peer_server(executor, std::move(acceptor), std::move(gossip_socket),
                        std::move(callbacks)));
}

peer_server::peer_server(asio::any_io_executor executor, tcp::acceptor acceptor,
                         udp::socket gossip_socket, hooks callbacks)
    : executor_(std::move(executor)), acceptor_(std::move(acceptor)),
      gossip_socket_(std::move(gossip_socket)), hooks_(std::move(callbacks))
{
}

void peer_server::start()
{
    auto self = shared_from_this();
    asio::post(gossip_executor(), [self] {
        self->accept_next_connection();
        self->receive_next_datagram();
    });
}

void peer_server::stop()
{
    auto self = shared_from_this();
    asio::post(gossip_executor(), [self] {
        self->is_stopped_ = true;
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
        self->gossip_socket_.close(ignored);
    });
}

void peer_server::accept_next_connection()
{
    auto self = shared_from_this();
    acceptor_.async_accept(
        asio::make_strand(executor_),
        [self](boost::system::error_code error, tcp::socket socket) {
            if (self->is_stopped_) {
                return;
            }
            if (error) {
                auto timer = std::make_shared<asio::steady_timer>(
                    self->gossip_executor(), accept_retry_delay);
                timer->async_wait([self, timer](boost::system::error_code) {
                    self->accept_next_connection();
                });
                return;
            }
            self->serve_connection(std::move(socket));
            self->accept_next_connection();
        });
}

void peer_server::serve_connection(tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto self = shared_from_this();
    // The channel owns the handler, which therefore holds only a weak pointer
    // to the channel.
    auto weak_channel = std::make_shared<std::weak_ptr<http2_channel>>();
    auto channel = http2_channel::create_server(
        std::move(socket),
        {[self, weak_channel](http2_channel::stream_id stream, call_path path,
                              std::string body) {
            auto channel = weak_channel->lock();
            if (!channel) {
                return;
            }
            self->hooks_.on_call(std::make_shared<incoming_call>(
                std::move(channel), stream, path, std::move(body)));
        }});
    *weak_channel = channel;
    channel->start([] {});
}

void peer_server::receive_next_datagram()
{
    auto self = shared_from_this();
    gossip_socket_.async_receive_from(
        asio::buffer(datagram_buffer_), datagram_sender_,
        [self](boost::system::error_code error, std::size_t length) {
            if (self->is_stopped_) {
                return;
            }
            if (!error) {
                const auto message =
                    decode_gossip({self->datagram_buffer_.data(), length});
                if (message) {
                    self->hooks_.on_gossip(*message);
                } else {
                    runtime::log_event(
                        runtime::event_number::peer_message_rejected,
                        "malformed datagram from " +
                            self->datagram_sender_.address().to_string());
                }
            }
            self->receive_next_datagram();
        });
}

void peer_server::send_gossip(const transport::endpoint& target,
                              const gossip_message& message)
{
    boost::system::error_code ignored;
    const auto encoded = encode_gossip(message);
    gossip_socket_.send_to(
        asio::buffer(encoded),
        {asio::ip::make_address(target.address), target.port}, 0, ignored);
}

} // namespace tamarackhoist::peers
