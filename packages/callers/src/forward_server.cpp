#include <tamarackhoist/callers/forward_server.hpp>

#include "caller_connection.hpp"
#include <tamarackhoist/runtime/event.hpp>

namespace tamarackhoist::callers
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Delay after a failed accept, which usually means that the process is out of
/// file descriptors.
constexpr runtime::duration accept_retry_delay = std::chrono::milliseconds(50);

/// Bytes that the kernel keeps of a connection in each direction. By default,
/// it keeps up to some megabytes of an answer that its caller doesn't read.
constexpr int socket_buffer_bytes = 32 * 1024;

/// Limits the buffers of the sockets that `acceptor` accepts.
void limit_socket_buffers(tcp::acceptor& acceptor)
{
    using asio::socket_base;
    error_code ignored;
    acceptor.set_option(socket_base::receive_buffer_size(socket_buffer_bytes),
                        ignored);
    acceptor.set_option(socket_base::send_buffer_size(socket_buffer_bytes),
                        ignored);
}

} // namespace

runtime::result<std::shared_ptr<forward_server>, std::string>
forward_server::create(asio::io_context& context, runtime::clock clock,
                       options options, limits_source limits, handler handle)
{
    error_code error;
    const auto address =
        asio::ip::make_address(options.listen_endpoint.address, error);
    if (error) {
        return "cannot listen on " + options.listen_endpoint.to_text() + ": " +
               error.message();
    }
    const tcp::endpoint local_endpoint(address, options.listen_endpoint.port);
    tcp::acceptor acceptor(context);
    acceptor.open(local_endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        limit_socket_buffers(acceptor);
    }
    if (!error) {
        acceptor.bind(local_endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "cannot listen on " + options.listen_endpoint.to_text() + ": " +
               error.message();
    }
    return std::shared_ptr<forward_server>(new forward_server(
        context, std::move(clock), std::move(options), std::move(limits),
        std::move(handle), std::move(acceptor)));
}

forward_server::forward_server(asio::io_context& context, runtime::clock clock,
                               options options, limits_source limits,
                               handler handle, tcp::acceptor acceptor)
    : context_(context), clock_(std::move(clock)), options_(std::move(options)),
      limits_(std::move(limits)), handle_(std::move(handle)),
      acceptor_(std::move(acceptor)), accept_retry_timer_(context),
      limiter_(options_.limits)
{
}

void forward_server::start()
{
    accept();
}

std::uint16_t forward_server::port() const
{
    return acceptor_.local_endpoint().port();
}

void forward_server::accept()
{
    auto self = shared_from_this();
    acceptor_.async_accept([self](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            runtime::log_event(runtime::event_number::caller_request_rejected,
                               "cannot accept connections on " +
                                   self->options_.listen_endpoint.to_text() +
                                   ": " + error.message());
            self->accept_retry_timer_.expires_after(accept_retry_delay);
            self->accept_retry_timer_.async_wait(
                [self](error_code timer_error) {
                    if (!timer_error) {
                        self->accept();
                    }
                });
            return;
        }
        if (self->make_room_for_connection()) {
            self->serve(std::move(socket));
        }
        self->accept();
    });
}

void forward_server::serve(tcp::socket socket)
{
    const auto id = limiter_.add();
    const auto connection = std::make_shared<caller_connection>(
        shared_from_this(), id, std::move(socket));
    connections_.emplace(id, connection);
    connection->start();
}

bool forward_server::make_room_for_connection()
{
    while (!limiter_.has_room_for_connection()) {
        const auto chosen = limiter_.choose_to_disconnect();
        if (!chosen) {
            return false;
        }
        const auto connection = connections_.at(*chosen);
        connection->disconnect();
    }
    return true;
}

void forward_server::make_room_for_bytes()
{
    while (const auto chosen = limiter_.choose_to_release()) {
        const auto connection = connections_.at(*chosen);
        connection->release();
    }
}

void forward_server::close_idle()
{
    error_code ignored;
    acceptor_.close(ignored);
    // Closing a connection removes it from the map.
    const auto connections = connections_;
    for (const auto& [id, connection] : connections) {
        if (connection->is_idle()) {
            connection->close();
        }
    }
}

} // namespace tamarackhoist::callers
