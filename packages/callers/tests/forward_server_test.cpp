#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <linux/sockios.h>
#include <string>
#include <sys/ioctl.h>
#include <tamarackhoist/callers/forward_server.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using callers::forward_exchange;

namespace
{

/// A server on a free port and a connection of one caller to it.
class server_fixture
{
public:
    server_fixture()
        : server(callers::forward_server::create(
                     context, runtime::clock::boot(),
                     {{"127.0.0.1", 0}, crowd_limits},
                     [this] { return limits; },
                     [this](std::shared_ptr<forward_exchange> exchange) {
                         exchanges.push_back(std::move(exchange));
                         if (answers_immediately) {
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

    static constexpr policy::connection_limiter::limits crowd_limits = {
        .max_connections = 4,
        .max_request_bytes = 20'000,
        .max_answer_bytes = 20'000};

    /// Returns another connection that has sent `bytes`.
    asio::ip::tcp::socket connect(const std::string& bytes = {})
    {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server->port()});
        asio::write(socket, asio::buffer(bytes));
        process_events();
        return socket;
    }

    /// Returns what has arrived on `socket`.
    static std::string read_available(asio::ip::tcp::socket& socket)
    {
        std::string text(64 * 1024, '\0');
        boost::system::error_code error;
        socket.non_blocking(true);
        text.resize(socket.read_some(asio::buffer(text), error));
        return text;
    }

    /// Answers the latest request with its target and body.
    void answer_last()
    {
        const auto& request = exchanges.back()->request();
        exchanges.back()->respond(
            {200,
             "OK",
             {},
             std::string(request.target()) + "|" + request.body()});
    }

    /// Sends `bytes` as the caller and processes events.
    void send(const std::string& bytes)
    {
        asio::write(caller, asio::buffer(bytes));
        process_events();
    }

    void process_events(runtime::duration time = 30ms)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(5ms);
        }
    }

    /// Returns the data that has arrived at the caller, and sets `is_closed`.
    std::string read_received()
    {
        std::string text(64 * 1024, '\0');
        boost::system::error_code error;
        const auto size = caller.read_some(asio::buffer(text), error);
        is_closed = error == asio::error::eof;
        text.resize(size);
        return text;
    }

    /// Sends `bytes` and returns the status code of the answer.
    std::string send_and_read_status(const std::string& bytes)
    {
        send(bytes);
        const auto text = read_received();
        return text.size() > 12 ? text.substr(9, 3) : text;
    }

    asio::io_context context;
    policy::request_limits limits;
    std::vector<std::shared_ptr<forward_exchange>> exchanges;
    bool answers_immediately = true;
    bool is_closed = false;
    std::shared_ptr<callers::forward_server> server;
    asio::ip::tcp::socket caller;
};

void bodies_with_a_length_and_in_chunks_are_read()
{
    server_fixture fixture;
    fixture.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    cr_assert(fixture.read_received().ends_with("/a|abc"));
    fixture.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                 "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    cr_assert(fixture.read_received().ends_with("/b|abc"));
}

/// A chunk header or a trailer is parsed only whole, so an endless one would
/// fill the memory or hold the connection.
void endless_framing_is_rejected()
{
    const std::string head =
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string framing : {"3;name=", "0\r\nX-Trailer: "}) {
        server_fixture fixture;
        cr_assert_eq(fixture.send_and_read_status(head + framing +
                                                  std::string(2000, 'x')),
                     "431");
        cr_assert(fixture.exchanges.empty());
    }
}

/// The limit of a head may exceed what is buffered of pipelined requests.
void a_head_up_to_a_large_limit_is_read()
{
    server_fixture fixture;
    fixture.limits.max_header_bytes = 200 * 1000;
    asio::ip::tcp::socket caller(fixture.context);
    caller.connect(
        {asio::ip::make_address("127.0.0.1"), fixture.server->port()});
    fixture.process_events();
    std::string fields;
    for (int number = 0; number < 100; ++number) {
        fields += "X-Long: " + std::string(1500, 'x') + "\r\n";
    }
    asio::write(caller, asio::buffer("GET /large HTTP/1.1\r\n" + fields));
    fixture.process_events();
    asio::write(caller, asio::buffer(std::string("Host: h\r\n\r\n")));
    fixture.process_events();
    cr_assert_eq(fixture.exchanges.size(), 1U);
}

void pipelined_requests_are_answered_in_order()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto text = fixture.read_received();
    cr_assert(text.find("/a|") < text.find("/b|"));
    cr_assert(text.find("/b|") != std::string::npos);
}

/// Guards against request smuggling: if this node and the upstream disagree on
/// where a request ends, a caller can hide a second request in its body.
/// Answering one pipelined request from within the answer to the one before
/// would take a stack frame for each.
void pipelined_requests_are_answered_one_at_a_time()
{
    server_fixture fixture;
    fixture.answers_immediately = false;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                 "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.answer_last();
    cr_assert_eq(fixture.exchanges.size(), 1U);
    fixture.process_events();
    cr_assert_eq(fixture.exchanges.size(), 2U);
}

/// The server must not keep the data of a caller that goes on sending after
/// its request was rejected, nor read it without end.
void data_after_the_last_answer_is_dropped()
{
    server_fixture fixture;
    fixture.limits.header_timeout = 10s;
    cr_assert_eq(fixture.send_and_read_status("nonsense\r\n\r\n"), "400");
    fixture.send(std::string(1000, 'x'));
    cr_assert_eq(fixture.server->counted_bytes(), 0U);
    cr_assert_eq(fixture.server->connection_count(), 1U);
    fixture.send(std::string(2000, 'x'));
    cr_assert_eq(fixture.server->connection_count(), 0U);
}

std::string make_partial_post(std::size_t bytes)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
           std::string(bytes, 'a');
}

/// For want of room, the caller that has been sending longest is told to come
/// back: its request has not run.
void the_slowest_request_is_refused_for_want_of_room()
{
    server_fixture fixture;
    fixture.limits.max_body_bytes = 100'000;
    fixture.limits.header_timeout = 10s;
    fixture.send(make_partial_post(15'000));
    cr_assert_eq(fixture.read_received(), "");
    auto second = fixture.connect(make_partial_post(15'000));
    const auto refusal = fixture.read_received();
    cr_assert(refusal.starts_with("HTTP/1.1 503"));
    cr_assert(refusal.find("Retry-After: ") != std::string::npos);
    cr_assert(refusal.find("Connection: close") != std::string::npos);
    cr_assert_eq(server_fixture::read_available(second), "");
    cr_assert(fixture.exchanges.empty());
    asio::write(second, asio::buffer(std::string(85'000, 'a')));
    fixture.process_events(100ms);
    cr_assert_eq(fixture.exchanges.size(), 1U);
    cr_assert(
        server_fixture::read_available(second).starts_with("HTTP/1.1 200"));
}

void a_request_is_refused_while_others_in_service_take_the_room()
{
    server_fixture fixture;
    fixture.answers_immediately = false;
    fixture.limits.max_body_bytes = 100'000;
    const auto post =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 15000\r\n\r\n" +
        std::string(15'000, 'a');
    fixture.send(post);
    auto refused = fixture.connect(post);
    cr_assert(
        server_fixture::read_available(refused).starts_with("HTTP/1.1 503"));
    auto small = fixture.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert_eq(fixture.exchanges.size(), 2U);
    cr_assert_not(fixture.exchanges.back()->try_hold(30'000));
    cr_assert(fixture.exchanges.front()->try_hold(0) == false);
    fixture.answer_last();
    fixture.process_events();
    cr_assert(
        server_fixture::read_available(small).starts_with("HTTP/1.1 200"));
}

void a_full_server_closes_the_connection_that_waits_longest()
{
    server_fixture fixture;
    fixture.process_events();
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.read_received().ends_with("/a|"));
    std::vector<asio::ip::tcp::socket> others;
    for (std::size_t number = 0;
         number < 2 * server_fixture::crowd_limits.max_connections; ++number) {
        others.push_back(fixture.connect());
    }
    cr_assert_eq(fixture.server->connection_count(),
                 server_fixture::crowd_limits.max_connections);
    // The connection that has served a request is kept.
    fixture.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.read_received().ends_with("/b|"));
}

void an_answer_that_is_not_read_makes_room_for_others()
{
    server_fixture fixture;
    constexpr std::size_t large_answer_bytes = 16 * 1024 * 1024;
    const auto request_large_answer = [&] {
        auto caller = fixture.connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        fixture.exchanges.back()->respond(
            {200, "OK", {}, std::string(large_answer_bytes, 'a')});
        return caller;
    };
    fixture.answers_immediately = false;
    const auto first = request_large_answer();
    const auto count = fixture.server->connection_count();
    const auto second = request_large_answer();
    cr_assert_eq(fixture.server->connection_count(), count);
    cr_assert_eq(fixture.server->requests_in_flight(), 1U);
}

/// What the kernel keeps of a connection counts for the VM, too: data that the
/// server doesn't read yet, and answers that the caller doesn't read.
void the_kernel_keeps_little_of_a_connection()
{
    constexpr std::size_t max_kept_bytes = 256 * 1024;
    server_fixture fixture;
    fixture.answers_immediately = false;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string pipelined(4096, 'x');
    std::size_t sent = 0;
    boost::system::error_code error;
    while (!error && sent < 16 * max_kept_bytes) {
        sent += fixture.caller.write_some(asio::buffer(pipelined), error);
        fixture.process_events(1ms);
    }
    int unacknowledged = 0;
    ::ioctl(fixture.caller.native_handle(), SIOCOUTQ, &unacknowledged);
    cr_assert_leq(sent - static_cast<std::size_t>(unacknowledged),
                  max_kept_bytes);
    fixture.exchanges.back()->respond(
        {200, "OK", {}, std::string(4 * max_kept_bytes, 'a')});
    fixture.process_events();
    cr_assert_eq(fixture.server->requests_in_flight(), 1U);
}

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
        cr_assert_eq(fixture.send_and_read_status(bytes), "400", "%s",
                     bytes.c_str());
        cr_assert(fixture.exchanges.empty(), "%s", bytes.c_str());
    }
}

void limits_are_enforced()
{
    server_fixture header;
    cr_assert_eq(
        header.send_and_read_status("GET / HTTP/1.1\r\nHost: h\r\nA: " +
                                    std::string(2000, 'a') + "\r\n\r\n"),
        "431");
    server_fixture body;
    cr_assert_eq(body.send_and_read_status(
                     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "
                     "1000\r\n\r\n"),
                 "413");
}

void a_slow_header_times_out()
{
    server_fixture fixture;
    fixture.send("GET / HTTP/1.1\r\nHo");
    fixture.process_events(200ms);
    cr_assert(fixture.read_received().starts_with("HTTP/1.1 408"));
}

void a_disconnected_caller_is_detected()
{
    server_fixture fixture;
    fixture.answers_immediately = false;
    fixture.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    bool was_abandoned = false;
    fixture.exchanges.back()->on_abandoned([&] { was_abandoned = true; });
    fixture.caller.close();
    fixture.process_events();
    cr_assert(was_abandoned);
    cr_assert_eq(fixture.server->requests_in_flight(), 0U);
    fixture.answer_last();
    cr_assert_eq(fixture.server->connection_count(), 0U);
}

void answers_to_head_have_no_body()
{
    server_fixture fixture;
    fixture.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.read_received().ends_with("\r\n\r\n"));
}

void a_draining_server_answers_and_closes_the_connection()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.read_received().find("Connection: close") ==
              std::string::npos);
    fixture.server->start_draining();
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert(fixture.read_received().find("Connection: close") !=
              std::string::npos);
    static_cast<void>(fixture.read_received());
    cr_assert(fixture.is_closed);
}

void close_idle_closes_idle_connections()
{
    server_fixture fixture;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    static_cast<void>(fixture.read_received());
    fixture.server->close_idle();
    fixture.process_events();
    cr_assert_eq(fixture.server->connection_count(), 0U);
}

void close_idle_keeps_requests_in_flight()
{
    server_fixture fixture;
    fixture.answers_immediately = false;
    fixture.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.server->close_idle();
    fixture.process_events();
    fixture.answer_last();
    fixture.process_events();
    cr_assert(fixture.read_received().ends_with("/a|"));
}

} // namespace

Test(forward_server, endless_framing)
{
    endless_framing_is_rejected();
}
Test(forward_server, large_head)
{
    a_head_up_to_a_large_limit_is_read();
}
Test(forward_server, bodies)
{
    bodies_with_a_length_and_in_chunks_are_read();
}
Test(forward_server, pipelining)
{
    pipelined_requests_are_answered_in_order();
}
Test(forward_server, pipelining_depth)
{
    pipelined_requests_are_answered_one_at_a_time();
}

Test(forward_server, data_after_answer)
{
    data_after_the_last_answer_is_dropped();
}

Test(forward_server, slowest_request)
{
    the_slowest_request_is_refused_for_want_of_room();
}

Test(forward_server, room_in_service)
{
    a_request_is_refused_while_others_in_service_take_the_room();
}

Test(forward_server, full)
{
    a_full_server_closes_the_connection_that_waits_longest();
}

Test(forward_server, unread_answer)
{
    an_answer_that_is_not_read_makes_room_for_others();
}

Test(forward_server, kernel_buffers)
{
    the_kernel_keeps_little_of_a_connection();
}

Test(forward_server, ambiguous)
{
    ambiguous_requests_are_rejected();
}
Test(forward_server, limits)
{
    limits_are_enforced();
}
Test(forward_server, slow_header)
{
    a_slow_header_times_out();
}
Test(forward_server, disconnected_caller)
{
    a_disconnected_caller_is_detected();
}
Test(forward_server, head)
{
    answers_to_head_have_no_body();
}
Test(forward_server, draining)
{
    a_draining_server_answers_and_closes_the_connection();
}
Test(forward_server, idle)
{
    close_idle_closes_idle_connections();
}
Test(forward_server, in_flight)
{
    close_idle_keeps_requests_in_flight();
}
