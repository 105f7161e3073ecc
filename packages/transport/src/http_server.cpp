#include <tamarackhoist/transport/http_server.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
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
/// Delay before accepting again after an error, such as running out of file
/// descriptors.
constexpr auto accept_retry_delay = std::chrono::milliseconds(50);

/// Room for received data beyond the limit of a head.
constexpr std::size_t read_ahead_bytes = 16 * 1024;

/// Returns the status to respond with to a request that failed to parse, or
/// nothing if the connection failed and is closed without a response.
std::optional<http::status> rejection_status(beast::error_code error)
{
    if (error == http::error::header_limit) {
        return http::status::request_header_fields_too_large;
    }
    if (error == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    if (error == http::error::end_of_stream ||
        error == http::error::partial_message ||
        error.category() !=
            beast::error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return http::status::bad_request;
}

} // namespace

runtime::result<std::shared_ptr<http_server>, std::string>
http_server::create(asio::any_io_executor executor,
                    const endpoint& listen_endpoint, http_server_limits limits,
                    handler handle)
{
    tcp::acceptor acceptor(executor);
    const tcp::endpoint address(asio::ip::make_address(listen_endpoint.address),
                                listen_endpoint.port);
    boost::system::error_code error;
    acceptor.open(address.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(address, error);
    }
    if (!error) {
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        return "cannot listen on " + listen_endpoint.to_text() + ": " +
               error.message();
    }
    return std::shared_ptr<http_server>(new http_server(
        std::move(executor), std::move(acceptor), limits, std::move(handle)));
}

http_server::http_server(asio::any_io_executor executor, tcp::acceptor acceptor,
                         http_server_limits limits, handler handle)
    : executor_(std::move(executor)), acceptor_(std::move(acceptor)),
      limits_(limits), handle_(std::move(handle))
{
}

void http_server::start()
{
    auto self = shared_from_this();
    asio::co_spawn(
        executor_, [self] { return self->accept_connections(); },
        asio::detached);
}

void http_server::stop()
{
    is_stopping_ = true;
    auto self = shared_from_this();
    asio::post(executor_, [self] {
        boost::system::error_code ignored;
        self->acceptor_.close(ignored);
    });
}

std::uint16_t http_server::port() const
{
    return acceptor_.local_endpoint().port();
}

asio::awaitable<void> http_server::accept_connections()
{
    while (!is_stopping_) {
        auto [error, socket] = co_await acceptor_.async_accept(
            asio::make_strand(executor_), use_tuple);
        if (error && is_stopping_) {
            break;
        }
        if (error) {
            asio::steady_timer timer(executor_, accept_retry_delay);
            co_await timer.async_wait(use_tuple);
            continue;
        }
        if (!make_room()) {
            continue;
        }
        ++connections_;
        auto strand = socket.get_executor();
        auto self = shared_from_this();
        asio::co_spawn(
            strand,
            [self, moved = std::move(socket)]() mutable {
                return self->serve_connection(std::move(moved));
            },
            asio::detached);
    }
}

asio::awaitable<void> http_server::serve_connection(tcp::socket socket)
{
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto stream = std::make_shared<stream_type>(std::move(socket));
    // Bounds the parts of a request that the parser takes only whole, such as
    // a chunk header.
    beast::flat_buffer buffer(limits_.max_header_bytes + read_ahead_bytes);
    bool is_open = true;
    while (is_open) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(
            static_cast<std::uint32_t>(limits_.max_header_bytes));
        parser.body_limit(limits_.max_body_bytes);
        stream->expires_after(limits_.read_timeout);
        const auto read_wait = start_wait(stream);
        auto [error, size] =
            co_await http::async_read(*stream, buffer, parser, use_tuple);
        end_wait(read_wait);
        if (error) {
            const auto status = rejection_status(error);
            if (!status) {
                break;
            }
            auto rejection =
                make_json(*status, R"({"outcome":"not_run","reason":")" +
                                       error.message() + "\"}");
            rejection.keep_alive(false);
            rejection.prepare_payload();
            co_await http::async_write(*stream, rejection, use_tuple);
            break;
        }
        const auto request = parser.release();
        stream->expires_never();
        ++in_flight_;
        auto response = co_await handle_request(request);
        is_open = request.keep_alive() && !is_stopping_;
        response.keep_alive(is_open);
        response.prepare_payload();
        stream->expires_after(limits_.read_timeout);
        const auto write_wait = start_wait(stream);
        auto [write_error, written] =
            co_await http::async_write(*stream, response, use_tuple);
        end_wait(write_wait);
        --in_flight_;
        if (write_error) {
            break;
        }
    }
    stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
    --connections_;
}

bool http_server::make_room()
{
    if (connections_ < limits_.max_connections) {
        return true;
    }
    std::shared_ptr<stream_type> longest_waiting;
    {
        const std::lock_guard guard(waits_mutex_);
        if (waits_.empty()) {
            return false;
        }
        longest_waiting = waits_.begin()->second;
        waits_.erase(waits_.begin());
    }
    asio::post(longest_waiting->get_executor(),
               [longest_waiting] { longest_waiting->close(); });
    return true;
}

std::uint64_t
http_server::start_wait(const std::shared_ptr<stream_type>& stream)
{
    const std::lock_guard guard(waits_mutex_);
    const auto position = next_wait_++;
    waits_.emplace(position, stream);
    return position;
}

void http_server::end_wait(std::uint64_t position)
{
    const std::lock_guard guard(waits_mutex_);
    waits_.erase(position);
}

asio::awaitable<http_response>
http_server::handle_request(const http_request& request)
{
    const auto start = [this, &request](auto completion) {
        using completion_type = decltype(completion);
        auto shared = std::make_shared<completion_type>(std::move(completion));
        handle_(request, [shared](http_response response) {
            auto executor = asio::get_associated_executor(*shared);
            asio::post(executor,
                       [shared, moved = std::move(response)]() mutable {
                           std::move (*shared)(std::move(moved));
                       });
        });
    };
    co_return co_await asio::async_initiate<decltype(asio::use_awaitable),
                                            void(http_response)>(
        start, asio::use_awaitable);
}

} // namespace tamarackhoist::transport
