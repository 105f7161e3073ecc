#include <tamarackhoist/peers/peer_link.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::peers
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto connect_timeout = std::chrono::milliseconds(500);

} // namespace

std::shared_ptr<peer_link>
peer_link::create(const asio::any_io_executor& executor,
                  transport::endpoint peer)
{
    return std::shared_ptr<peer_link>(new peer_link(executor, std::move(peer)));
}

peer_link::peer_link(const asio::any_io_executor& executor,
                     transport::endpoint peer)
    : strand_(asio::make_strand(executor)), peer_(std::move(peer))
{
}

void peer_link::call(call_path path, std::string body,
                     message_handler on_message, end_handler on_end)
{
    auto self = shared_from_this();
    asio::post(strand_, [self, path, body = std::move(body),
                         on_message = std::move(on_message),
                         on_end = std::move(on_end)]() mutable {
        pending_call next{path, std::move(body), std::move(on_message),
                          std::move(on_end)};
        if (self->is_closed_) {
            next.on_end(call_end::not_sent);
            return;
        }
        if (self->channel_) {
            self->send(std::move(next));
            return;
        }
        self->pending_.push_back(std::move(next));
        if (!std::exchange(self->is_connecting_, true)) {
            self->connect();
        }
    });
}

void peer_link::connect()
{
    auto self = shared_from_this();
    auto socket = std::make_shared<tcp::socket>(strand_);
    auto timer = std::make_shared<asio::steady_timer>(strand_, connect_timeout);
    timer->async_wait([socket](boost::system::error_code error) {
        if (!error) {
            socket->close(error);
        }
    });
    const tcp::endpoint remote(asio::ip::make_address(peer_.address),
                               peer_.port);
    socket->async_connect(remote, [self, socket,
                                   timer](boost::system::error_code error) {
        timer->cancel();
        if (!error) {
            boost::system::error_code ignored;
            socket->set_option(tcp::no_delay(true), ignored);
            self->channel_ = http2_channel::create_client(std::move(*socket));
        }
        self->on_connected(!error);
    });
}

void peer_link::on_connected(bool is_connected)
{
    is_connecting_ = false;
    if (!is_connected || is_closed_) {
        channel_.reset();
        runtime::log_event(runtime::event_number::peer_connection_failed,
                           peer_.to_text());
        end_pending_calls();
        return;
    }
    auto self = shared_from_this();
    std::weak_ptr<http2_channel> started = channel_;
    channel_->start([self, started] {
        if (self->channel_ == started.lock()) {
            self->channel_.reset();
        }
    });
    for (auto& waiting : std::exchange(pending_, {})) {
        send(std::move(waiting));
    }
}

void peer_link::send(pending_call call)
{
    channel_->call(call.path, std::move(call.body),
                   {std::move(call.on_message),
                    [on_end = std::move(call.on_end)](bool is_clean) {
                        on_end(is_clean ? call_end::clean
                                        : call_end::interrupted);
                    }});
}

void peer_link::end_pending_calls()
{
    for (auto& waiting : std::exchange(pending_, {})) {
        waiting.on_end(call_end::not_sent);
    }
}

void peer_link::close()
{
    auto self = shared_from_this();
    asio::post(strand_, [self] {
        self->is_closed_ = true;
        self->end_pending_calls();
        if (self->channel_) {
            self->channel_->close();
        }
    });
}

} // namespace tamarackhoist::peers
