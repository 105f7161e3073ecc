#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <tamarackhoist/transport/http_connection.hpp>
#include <tamarackhoist/transport/http_server.hpp>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using transport::http_server;

namespace
{

/// A server on a free port that echoes the body of each request.
class server_fixture
{
public:
    server_fixture()
    {
        transport::http_server_limits limits;
        limits.max_body_bytes = 1000;
        limits.max_header_bytes = 1000;
        limits.max_connections = max_connections;
        server_ = http_server::create(
                      context_.get_executor(), {"127.0.0.1", 0}, limits,
                      [this](const transport::http_request& request,
                             const http_server::respond& respond) {
                          ++requests;
                          respond(transport::make_json(http::status::ok,
                                                       request.body()));
                      })
                      .value();
        server_->start();
        thread_ = std::jthread([this] { context_.run(); });
    }

    ~server_fixture() { context_.stop(); }

    static constexpr std::size_t max_connections = 4;

    /// Returns a new connection that has sent `bytes`.
    asio::ip::tcp::socket connect(asio::io_context& client,
                                  const std::string& bytes)
    {
        asio::ip::tcp::socket socket(client);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        asio::write(socket, asio::buffer(bytes));
        return socket;
    }

    /// Sends raw bytes, shuts down the sending side and returns all bytes that
    /// the server sends.
    std::string exchange(const std::string& bytes)
    {
        asio::io_context client;
        asio::ip::tcp::socket socket(client);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), ignored);
        return response;
    }

    /// Sends `beginning` and then `repeated` again and again until the server
    /// closes the connection, up to `max_bytes`. Returns the bytes sent.
    std::size_t send_endlessly(const std::string& beginning,
                               const std::string& repeated,
                               std::size_t max_bytes)
    {
        asio::io_context client;
        asio::ip::tcp::socket socket(client);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        boost::system::error_code error;
        auto sent = asio::write(socket, asio::buffer(beginning), error);
        while (!error && sent < max_bytes) {
            sent += asio::write(socket, asio::buffer(repeated), error);
        }
        return sent;
    }

    std::atomic<int> requests{0};

private:
    asio::io_context context_;
    std::shared_ptr<http_server> server_;
    std::jthread thread_;
};

bool has_status(const std::string& response, const std::string& status)
{
    return response.starts_with("HTTP/1.1 " + status);
}

void a_connection_serves_several_requests()
{
    server_fixture server;
    const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\n"
                                "Content-Length: 3\r\n\r\nabc";
    const auto response = server.exchange(request + request);
    cr_assert(has_status(response, "200"));
    cr_assert_eq(server.requests.load(), 2);
}

void oversized_and_malformed_requests_are_rejected()
{
    server_fixture server;
    cr_assert(has_status(server.exchange("POST /x HTTP/1.1\r\n"
                                         "Content-Length: 99999\r\n\r\n"),
                         "413"));
    cr_assert(has_status(
        server.exchange("GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n"),
        "431"));
    cr_assert(has_status(server.exchange("garbage\r\n\r\n"), "400"));
    cr_assert(server.exchange("POST /x HTTP/1.1\r\nContent-Le").empty());
    cr_assert_eq(server.requests.load(), 0);
    // The server still handles valid requests.
    cr_assert(has_status(server.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
                         "200"));
}

/// A chunk header or a trailer is parsed only whole, so an endless one would
/// fill the memory.
void endless_framing_is_rejected()
{
    constexpr std::size_t max_bytes = std::size_t(64) * 1024 * 1024;
    const std::string head =
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string framing : {"3;name=", "0\r\nX-Trailer: "}) {
        server_fixture server;
        cr_assert_lt(server.send_endlessly(head + framing,
                                           std::string(10'000, 'x'), max_bytes),
                     max_bytes);
        cr_assert_eq(server.requests.load(), 0);
    }
}

/// Clients that send nothing, or a part of a request, would otherwise keep
/// others out for as long as they like.
void a_full_server_closes_the_connection_that_waits_longest()
{
    server_fixture fixture;
    asio::io_context client;
    std::vector<asio::ip::tcp::socket> waiting;
    for (std::size_t number = 0; number < 3 * server_fixture::max_connections;
         ++number) {
        waiting.push_back(
            fixture.connect(client, number % 2 == 0 ? "" : "POST / HT"));
    }
    const auto response = fixture.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(response.starts_with("HTTP/1.1 200"));
    std::array<char, 1> byte{};
    boost::system::error_code error;
    waiting.front().read_some(asio::buffer(byte), error);
    cr_assert(error);
}

void a_refused_connection_is_reported_as_not_sent()
{
    asio::io_context context;
    auto status = transport::exchange_status::answered;
    transport::exchange_once(context.get_executor(), {"127.0.0.1", 1},
                             transport::http_request(http::verb::get, "/", 11),
                             std::chrono::seconds(1),
                             [&](const transport::exchange_result& result) {
                                 status = result.status;
                             });
    context.run();
    cr_assert(status == transport::exchange_status::not_sent);
}

} // namespace

Test(http_server, keep_alive)
{
    a_connection_serves_several_requests();
}
Test(http_server, endless_framing)
{
    endless_framing_is_rejected();
}
Test(http_server, oversized_and_malformed)
{
    oversized_and_malformed_requests_are_rejected();
}
Test(http_server, full)
{
    a_full_server_closes_the_connection_that_waits_longest();
}

Test(http_connection, refused)
{
    a_refused_connection_is_reported_as_not_sent();
}
