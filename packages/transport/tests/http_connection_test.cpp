#include "broken_responses.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <tamarackhoist/transport/http_connection.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using transport::exchange_result;
using transport::exchange_status;

namespace
{

/// Longer than any test may take, so that no test passes because of it.
constexpr runtime::duration exchange_timeout = 20s;

/// A connection to a server that takes its bytes from the test.
class connection_fixture
{
public:
    connection_fixture()
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
          server_(context_), connection(transport::http_connection::create(
                                 context_.get_executor()))
    {
        acceptor_.async_accept(server_, [](boost::system::error_code) {});
        connection->connect({"127.0.0.1", acceptor_.local_endpoint().port()},
                            1s, [](bool) {});
        process_events();
    }

    /// Starts an exchange and processes events until the server has received
    /// the request.
    void send_request()
    {
        result.reset();
        connection->exchange(
            transport::http_request(http::verb::get, "/", 11), exchange_timeout,
            [this](const exchange_result& ended) { result = ended; });
        std::string request;
        asio::async_read_until(server_, asio::dynamic_buffer(request),
                               "\r\n\r\n",
                               [](boost::system::error_code, std::size_t) {});
        process_events();
    }

    /// Sends bytes as the server and processes events.
    void respond(const std::string& bytes)
    {
        boost::system::error_code ignored;
        asio::write(server_, asio::buffer(bytes), ignored);
        process_events();
    }

    /// Ends the server's side of the connection and processes events.
    void end_responses()
    {
        boost::system::error_code ignored;
        server_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        process_events();
    }

    /// Sends `bytes` again and again until the exchange ends, for 5 seconds at
    /// most.
    void respond_endlessly(const std::string& bytes)
    {
        server_.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!result && std::chrono::steady_clock::now() < end) {
            boost::system::error_code ignored;
            server_.write_some(asio::buffer(bytes), ignored);
            context_.run_one_for(1ms);
        }
    }

    std::optional<exchange_result> result;

private:
    void process_events()
    {
        context_.restart();
        context_.run_for(50ms);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket server_;

public:
    std::shared_ptr<transport::http_connection> connection;
};

std::string make_response(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

void a_connection_carries_several_exchanges()
{
    connection_fixture fixture;
    for (const std::string body : {"one", "two"}) {
        fixture.send_request();
        fixture.respond(make_response(body));
        cr_assert(fixture.result.has_value());
        cr_assert_eq(fixture.result->response.body(), body);
    }
}

/// A second copy of a response arrives late, while the connection is idle. The
/// next exchange must not take it for its own response.
void a_late_duplicate_response_is_not_taken_for_the_next()
{
    connection_fixture fixture;
    fixture.send_request();
    fixture.respond(make_response("one"));
    fixture.respond(make_response("one"));
    fixture.send_request();
    cr_assert(fixture.result.has_value());
    cr_assert(fixture.result->status == exchange_status::not_sent);
}

/// The response that follows an interim response would be taken for that of
/// the next exchange.
void an_interim_response_ends_the_connection()
{
    connection_fixture fixture;
    fixture.send_request();
    fixture.respond("HTTP/1.1 103 Early Hints\r\n\r\n");
    cr_assert(fixture.result.has_value());
    cr_assert(fixture.result->status == exchange_status::broken);
    cr_assert(!fixture.connection->is_open());
}

/// Two pending exchanges would share one timeout, which the end of the first
/// takes away: the second one might never end.
void a_second_exchange_is_not_sent_while_one_is_pending()
{
    connection_fixture fixture;
    fixture.send_request();
    std::optional<exchange_result> second;
    fixture.connection->exchange(
        transport::http_request(http::verb::get, "/second", 11),
        exchange_timeout,
        [&](const exchange_result& ended) { second = ended; });
    fixture.respond(make_response("one"));
    cr_assert(second.has_value());
    cr_assert(second->status == exchange_status::not_sent);
    cr_assert_eq(fixture.result->response.body(), "one");
}

void endless_responses_are_rejected()
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(1000, 'x');
    struct endless {
        std::string beginning;
        std::string repeated;
    };
    const std::vector<endless> all{
        {"HTTP/1.1 200 OK\r\nX-Long: ", block},
        {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", block},
        {chunked, "3e8\r\n" + block + "\r\n"},
        {chunked + "5;name=", block},
        {chunked + "0\r\nX-Trailer: ", block},
    };
    for (const auto& each : all) {
        connection_fixture fixture;
        fixture.send_request();
        fixture.respond(each.beginning);
        fixture.respond_endlessly(each.repeated);
        cr_assert(fixture.result.has_value(), "%s", each.beginning.c_str());
        cr_assert(fixture.result->status == exchange_status::broken);
        cr_assert(!fixture.connection->is_open());
    }
}

/// Answers of the store, of the platform and to health checks are read here.
void expect_rejected(const std::vector<std::string>& responses)
{
    for (const auto& bytes : responses) {
        connection_fixture fixture;
        fixture.send_request();
        fixture.respond(bytes);
        fixture.end_responses();
        cr_expect(fixture.result.has_value() &&
                      fixture.result->status == exchange_status::broken,
                  "%s", bytes.c_str());
        cr_expect(!fixture.connection->is_open());
    }
}

void invalid_statuses_are_rejected()
{
    expect_rejected(transport::make_invalid_statuses(""));
}

void invalid_field_names_are_rejected()
{
    expect_rejected(transport::make_invalid_field_names("X-Field: value\r\n"));
}

void folded_heads_are_rejected()
{
    expect_rejected(transport::make_folded_heads(""));
}

void unsupported_codings_are_rejected()
{
    expect_rejected(transport::make_unsupported_codings(""));
}

void invalid_chunks_are_rejected()
{
    expect_rejected(transport::make_invalid_chunks(""));
}

void invalid_trailers_are_rejected()
{
    expect_rejected(transport::make_invalid_trailers(""));
}

} // namespace

Test(http_connection, status)
{
    invalid_statuses_are_rejected();
}
Test(http_connection, field_names)
{
    invalid_field_names_are_rejected();
}
Test(http_connection, folded_heads)
{
    folded_heads_are_rejected();
}
Test(http_connection, transfer_codings)
{
    unsupported_codings_are_rejected();
}
Test(http_connection, chunks)
{
    invalid_chunks_are_rejected();
}
Test(http_connection, trailers)
{
    invalid_trailers_are_rejected();
}
Test(http_connection, several_exchanges)
{
    a_connection_carries_several_exchanges();
}
Test(http_connection, late_duplicate)
{
    a_late_duplicate_response_is_not_taken_for_the_next();
}
Test(http_connection, interim)
{
    an_interim_response_ends_the_connection();
}
Test(http_connection, second_exchange)
{
    a_second_exchange_is_not_sent_while_one_is_pending();
}
Test(http_connection, endless)
{
    endless_responses_are_rejected();
}
