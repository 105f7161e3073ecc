#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <tamarackhoist/callers/forward_server.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using callers::forward_exchange;

namespace
{

/// A server on a free port, and one caller's connection to it.
class server_fixture
{
public:
    server_fixture()
        : server(callers::forward_server::create(
                     context, runtime::clock::boot(), {{"127.0.0.1", 0}},
                     [this] { return limits; },
                     [this](std::shared_ptr<forward_exchange> exchange) {
                         exchanges.push_back(std::move(exchange));
                         if (answers_at_once) {
                             answer_last();
                         }
                     })
                     .value()),
          caller(context)
    {
        limits.max_header_bytes = 1000;
        limits.max_body_bytes = 100;
        limits.header_timeout = 100ms;
        limits.idle_timeout = 5s;
        server->start();
        caller.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        caller.non_blocking(true);
    }

    void answer_last()
    {
        const auto& request = exchanges.back()->request();
        exchanges.back()->respond(
            {200,
             "OK",
             {},
             std::string(request.target()) + "|" + request.body()});
    }

    void send(const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        settle();
    }

    void settle(runtime::duration time = 30ms)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(5ms);
        }
    }

    /// Returns all that has arrived at the caller.
    std::string received()
    {
        std::string text(64 * 1024, '\0');
        boost::system::error_code error;
        const auto size = caller.read_some(asio::buffer(text), error);
        is_closed = error == asio::error::eof;
        text.resize(size);
        return text;
    }

    std::string status(const std::string& bytes)
    {
        send(bytes);
        const auto text = received();
        return text.size() > 12 ? text.substr(9, 3) : text;
    }

    asio::io_context context;
    policy::request_limits limits;
    std::vector<std::shared_ptr<forward_exchange>> exchanges;
    bool answers_at_once = true;
    bool is_closed = false;
    std::shared_ptr<callers::forward_server> server;
    asio::ip::tcp::socket caller;
};

void bodies_arrive_with_a_length_or_in_chunks()
{
    server_fixture fixture;
    fixture.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    cr_assert(fixture.received().ends_with("/a|abc"));
    fixture.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    cr_assert(fixture.received().ends_with("/b|abc"));
}

void requests_that_arrive_together_are_answered_in_order()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto text = fixture.received();
    cr_assert(text.find("/a|") < text.find("/b|"));
    cr_assert(text.find("/b|") != std::string::npos);
}

/// A request must not carry another one past this node.
void ambiguous_requests_are_rejected()
{
    const std::vector<std::string> ambiguous{
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: "
        "4\r\n\r\nabcd",
        "GET / HTTP/1.1\nHost: h\n\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, "
        "gzip\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
        "chunked\r\n\r\nzz\r\n",
    };
    for (const auto& bytes : ambiguous) {
        server_fixture fixture;
        cr_assert_eq(fixture.status(bytes), "400", "%s", bytes.c_str());
        cr_assert(fixture.exchanges.empty(), "%s", bytes.c_str());
    }
}

void limits_are_kept()
{
    server_fixture header;
    cr_assert_eq(header.status("GET / HTTP/1.1\r\nHost: h\r\nA: " +
                               std::string(2000, 'a') + "\r\n\r\n"),
                 "431");
    server_fixture body;
    cr_assert_eq(body.status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                             "1000\r\n\r\n"),
                 "413");
}

void a_slow_header_is_not_waited_for()
{
    server_fixture fixture;
    fixture.send("GET / HTTP/1.1\r\nHo");
    fixture.settle(200ms);
    cr_assert(fixture.received().starts_with("HTTP/1.1 408"));
}

void a_departed_caller_is_noticed()
{
    server_fixture fixture;
    fixture.answers_at_once = false;
    fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    bool is_gone = false;
    fixture.exchanges.back()->on_abandoned([&] { is_gone = true; });
    fixture.caller.close();
    fixture.settle();
    cr_assert(is_gone);
    cr_assert_eq(fixture.server->requests_in_flight(), 0U);
    fixture.answer_last();
    cr_assert_eq(fixture.server->connection_count(), 0U);
}

void answers_to_head_have_no_body()
{
    server_fixture fixture;
    fixture.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.received().ends_with("\r\n\r\n"));
}

void draining_answers_and_then_closes()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.received().find("Connection: close") ==
              std::string::npos);
    fixture.server->start_draining();
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.received().find("Connection: close") !=
              std::string::npos);
    static_cast<void>(fixture.received());
    cr_assert(fixture.is_closed);
}

void idle_connections_close_at_the_end_of_a_drain()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    static_cast<void>(fixture.received());
    fixture.server->close_idle();
    fixture.settle();
    cr_assert_eq(fixture.server->connection_count(), 0U);
}

void a_request_in_flight_outlives_the_closing_of_idle_connections()
{
    server_fixture fixture;
    fixture.answers_at_once = false;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.server->close_idle();
    fixture.settle();
    fixture.answer_last();
    fixture.settle();
    cr_assert(fixture.received().ends_with("/a|"));
}

} // namespace

Test(forward_server, bodies)
{
    bodies_arrive_with_a_length_or_in_chunks();
}
Test(forward_server, pipelining)
{
    requests_that_arrive_together_are_answered_in_order();
}
Test(forward_server, ambiguous)
{
    ambiguous_requests_are_rejected();
}
Test(forward_server, limits)
{
    limits_are_kept();
}
Test(forward_server, slow_header)
{
    a_slow_header_is_not_waited_for();
}
Test(forward_server, departed_caller)
{
    a_departed_caller_is_noticed();
}
Test(forward_server, head)
{
    answers_to_head_have_no_body();
}
Test(forward_server, draining)
{
    draining_answers_and_then_closes();
}
Test(forward_server, idle)
{
    idle_connections_close_at_the_end_of_a_drain();
}
Test(forward_server, in_flight)
{
    a_request_in_flight_outlives_the_closing_of_idle_connections();
}
