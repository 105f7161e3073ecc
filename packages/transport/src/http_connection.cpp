#include <tamarackhoist/transport/http_connection.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <tamarackhoist/transport/response_parser.hpp>
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
/// Limit of the received data that is not parsed yet. It bounds the parts of a
/// response that the parser takes only whole, such as a chunk header.
constexpr std::size_t max_unparsed_bytes = 64 * 1024;

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
    if (is_busy_) {
        asio::post(executor_, [handle = std::move(handle)] {
            handle({exchange_status::not_sent, {}});
        });
        return;
    }
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
    if (has_unexpected_data()) {
        close();
    }
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
    beast::flat_buffer buffer(max_unparsed_bytes);
    response_parser parser;
    parser.body_limit(max_response_bytes);
    auto [read_error, size] =
        co_await http::async_read(stream_, buffer, parser, use_tuple);
    is_busy_ = false;
    // The requests expect no interim response, so one is a protocol violation.
    const bool is_answered =
        !read_error &&
        get_status_class(parser.get()) != http::status_class::informational;
    // Bytes after the response belong to no request, so the connection cannot
    // be used for another exchange.
    const bool is_reusable =
        is_answered && parser.get().keep_alive() && buffer.size() == 0;
    if (!is_reusable) {
        close();
    }
    if (!is_answered) {
        handle({exchange_status::broken,
                {},
                read_error == http::error::body_limit});
        co_return;
    }
    stream_.expires_never();
    handle({exchange_status::answered, parser.release()});
}

bool http_connection::has_unexpected_data()
{
    if (!is_open_) {
        return false;
    }
    // The socket of an idle connection becomes readable if the peer has closed
    // it or sends bytes that belong to no request, such as a late duplicate.
    boost::system::error_code error;
    char byte = 0;
    stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                             error);
    return error != asio::error::would_block;
}

void http_connection::watch_idle(std::function<void()> handle)
{
    auto self = shared_from_this();
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self, handle = std::move(handle)](boost::system::error_code error) {
            // The socket becomes readable during an exchange because of the
            // response.
            if (error || self->is_busy_ || !self->has_unexpected_data()) {
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
