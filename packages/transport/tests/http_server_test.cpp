#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <tamarackhoist/transport/http_connection.hpp>
#include <tamarackhoist/transport/http_server.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace tamarackhoist;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using transport::http_server;

namespace
{

/// A server on a free port, which answers with the body it was sent.
class server_fixture
{
public:
    server_fixture()
    {
        transport::http_server_limits limits;
        limits.max_body_bytes = 1000;
        limits.max_header_bytes = 1000;
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

    /// Sends raw bytes, closes the sending side and returns all that comes.
    std::string exchange(const std::string& bytes)
    {
        asio::io_context client;
        asio::ip::tcp::socket socket(client);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    std::atomic<int> requests{0};

private:
    asio::io_context context_;
    std::shared_ptr<http_server> server_;
    std::jthread thread_;
};

bool has_status(const std::string& answer, const std::string& status)
{
    return answer.starts_with("HTTP/1.1 " + status);
}

void requests_share_a_connection()
{
    server_fixture each;
    const std::string one = "POST /x HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nabc";
    const auto answer = each.exchange(one + one);
    cr_assert(has_status(answer, "200"));
    cr_assert_eq(each.requests.load(), 2);
}

void oversized_and_malformed_requests_are_refused()
{
    server_fixture each;
    cr_assert(has_status(each.exchange("POST /x HTTP/1.1\r\n"
                                       "Content-Length: 99999\r\n\r\n"),
                         "413"));
    cr_assert(has_status(
        each.exchange("GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n"),
        "431"));
    cr_assert(has_status(each.exchange("garbage\r\n\r\n"), "400"));
    cr_assert(each.exchange("POST /x HTTP/1.1\r\nContent-Le").empty());
    cr_assert_eq(each.requests.load(), 0);
    // The server still serves.
    cr_assert(
        has_status(each.exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "200"));
}

void a_refused_connection_sends_nothing()
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
    requests_share_a_connection();
}
Test(http_server, hostile)
{
    oversized_and_malformed_requests_are_refused();
}
Test(http_connection, refused)
{
    a_refused_connection_sends_nothing();
}
