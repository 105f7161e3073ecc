#include <tamarackhoist/transport/http_connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace tamarackhoist::transport
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

} // namespace

std::shared_ptr<http_connection>
http_connection::create(asio::any_io_executor executor)
{
    return std::shared_ptr<http_connection>(
        new http_connection(std::move(executor)));
}

http_connection::http_connection(asio::any_io_executor executor)
    : executor_(executor), stream_(std::move(executor))
{
}

void http_connection::connect(const endpoint& target, runtime::duration timeout,
                              connect_handler handle)
{
    auto self = shared_from_this();
    asio::co_spawn(
        executor_,
        [self, target, timeout, handle = std::move(handle)]() mutable {
            return self->run_connect(target, timeout, std::move(handle));
        },
        asio::detached);
}

asio::awaitable<void> http_connection::run_connect(endpoint target,
                                                   runtime::duration timeout,
                                                   connect_handler handle)
{
    const tcp::endpoint address(asio::ip::make_address(target.address),
                                target.port);
    stream_.expires_after(timeout);
    auto [error] = co_await stream_.async_connect(address, use_tuple);
    is_open_ = !error;
    if (is_open_) {
        boost::system::error_code ignored;
        stream_.socket().set_option(tcp::no_delay(true), ignored);
        stream_.socket().non_blocking(true, ignored);
    }
    handle(is_open_);
}

void http_connection::exchange(http_request request, runtime::duration timeout,
                               exchange_handler handle)
{
    is_busy_ = true;
    auto self = shared_from_this();
    asio::co_spawn(
        executor_,
        [self, request = std::move(request), timeout,
         handle = std::move(handle)]() mutable {
            return self->run_exchange(std::move(request), timeout,
                                      std::move(handle));
        },
        asio::detached);
}

asio::awaitable<void> http_connection::run_exchange(http_request request,
                                                    runtime::duration timeout,
                                                    exchange_handler handle)
{
    const auto self = shared_from_this();
    if (!is_open_) {
        handle({exchange_status::not_sent, {}});
        co_return;
    }
    request.prepare_payload();
    stream_.expires_after(timeout);
    // After a failed write, part of the request may already have been sent.
    auto [write_error, written] =
        co_await http::async_write(stream_, request, use_tuple);
    if (write_error) {
        close();
        handle({exchange_status::broken, {}});
        co_return;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    auto [read_error, size] =
        co_await http::async_read(stream_, buffer, parser, use_tuple);
    is_busy_ = false;
    // Bytes after the response belong to no request, so the connection cannot
    // be used for another exchange.
    const bool is_reusable =
        !read_error && parser.get().keep_alive() && buffer.size() == 0;
    if (!is_reusable) {
        close();
    }
    if (read_error) {
        handle({exchange_status::broken, {}});
        co_return;
    }
    stream_.expires_never();
    handle({exchange_status::answered, parser.release()});
}

void http_connection::watch_idle(std::function<void()> handle)
{
    auto self = shared_from_this();
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self, handle = std::move(handle)](boost::system::error_code error) {
            // The socket becomes readable during an exchange because of the
            // response. If it does while idle, the peer has closed the
            // connection or violates the protocol.
            if (error || self->is_busy_ || !self->is_open_) {
                return;
            }
            boost::system::error_code peek_error;
            char byte = 0;
            self->stream_.socket().receive(
                asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
            if (peek_error == asio::error::would_block) {
                return;
            }
            self->close();
            handle();
        });
}

void http_connection::close()
{
    is_open_ = false;
    stream_.cancel();
    stream_.close();
}

void exchange_once(asio::any_io_executor executor, const endpoint& target,
                   http_request request, runtime::duration timeout,
                   http_connection::exchange_handler handle)
{
    auto connection = http_connection::create(asio::make_strand(executor));
    connection->connect(
        target, timeout,
        [connection, request = std::move(request), timeout,
         handle = std::move(handle)](bool is_connected) mutable {
            if (!is_connected) {
                handle({exchange_status::not_sent, {}});
                return;
            }
            request.keep_alive(false);
            connection->exchange(std::move(request), timeout,
                                 std::move(handle));
        });
}

} // namespace tamarackhoist::transport
