#include "pool_fixture.hpp"
#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using upstreams::connection_use;
using upstreams::forward_result;
using upstreams::forward_status;
using upstreams::make_reply;
using upstreams::parse_request_id;
using upstreams::pool_fixture;
using upstreams::scripted_upstream;

namespace
{

void connections_are_reused()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), "b")};
    });
    for (std::size_t number = 0; number < 5; ++number) {
        fixture.send(std::to_string(number));
        fixture.run_until(number + 1);
        cr_assert(fixture.results.back().status == forward_status::answered);
    }
    cr_assert_eq(fixture.upstream.connections(), 1);
}

/// When many connections become readable in one iteration of the event loop,
/// each request must get the data of its own connection.
void concurrent_responses_are_not_mixed_up()
{
    constexpr std::size_t connections = 20;
    // Larger than one read, so that data is already there when a read starts.
    constexpr std::size_t body_bytes = 50'000;
    pool_fixture fixture(
        [](const std::string& header, int) {
            return scripted_upstream::reply{make_reply(
                parse_request_id(header),
                std::string(body_bytes, parse_request_id(header)[0]))};
        },
        connections);
    std::size_t expected = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < connections; ++i) {
            fixture.send(std::string(1, static_cast<char>('a' + i)));
        }
        expected += connections;
        fixture.run_until(expected);
    }
    for (std::size_t i = 0; i < expected; ++i) {
        cr_assert(fixture.results[i].status == forward_status::answered);
        cr_assert_eq(fixture.results[i].response.body(),
                     std::string(body_bytes, fixture.ended_ids[i][0]));
    }
}

/// A duplicate of an earlier response arrives before the expected response and
/// must not be taken for it.
void a_late_duplicate_response_is_skipped()
{
    pool_fixture fixture([](const std::string& header, int number) {
        const auto response = make_reply(parse_request_id(header), "own");
        return scripted_upstream::reply{
            number == 1 ? make_reply("first", "stray") + response : response};
    });
    fixture.send("first");
    fixture.run_until(1);
    fixture.send("second");
    fixture.run_until(2);
    cr_assert_eq(fixture.results[1].response.body(), "own");
}

/// Data after a complete response belongs to no request, so the connection must
/// not be reused.
void a_connection_with_excess_data_is_closed()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), "own") +
            make_reply(parse_request_id(header), "again")};
    });
    fixture.send("first");
    fixture.run_until(1);
    cr_assert_eq(fixture.results[0].response.body(), "own");
    fixture.send("second");
    fixture.run_until(2);
    cr_assert_eq(fixture.results[1].response.body(), "own");
    cr_assert_eq(fixture.upstream.connections(), 2);
}

void a_response_without_a_request_id_is_rejected()
{
    pool_fixture fixture([](const std::string&, int) {
        return scripted_upstream::reply{
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", true};
    });
    fixture.send("first");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::broken);
}

void malformed_and_truncated_responses_are_broken()
{
    const std::vector<std::string> malformed{
        "\x01\x02 garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 2"};
    for (const auto& bytes : malformed) {
        pool_fixture fixture([&](const std::string&, int) {
            return scripted_upstream::reply{bytes, true};
        });
        fixture.send("r");
        fixture.run_until(1);
        cr_assert(fixture.results[0].status == forward_status::broken, "%s",
                  bytes.c_str());
    }
}

void a_response_without_a_length_ends_with_its_connection()
{
    pool_fixture fixture([](const std::string&, int) {
        return scripted_upstream::reply{
            "HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\nwhole", true};
    });
    fixture.send("r");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::answered);
    cr_assert_eq(fixture.results[0].response.body(), "whole");
}

void requests_are_sent_by_priority()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), {})};
    });
    fixture.send("billing", 2);
    fixture.send("browsing", 1);
    fixture.send("urgent", 0);
    fixture.run_until(3);
    const std::vector<std::string> expected{"urgent", "browsing", "billing"};
    cr_assert(fixture.ended_ids == expected);
    cr_assert_eq(fixture.upstream.connections(), 1);
}

void a_cancelled_request_is_never_sent()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), {})};
    });
    fixture.send("first");
    const auto second = fixture.send("second");
    cr_assert(!fixture.pool->cancel(second));
    fixture.run_until(1);
    fixture.process_events();
    cr_assert_eq(fixture.upstream.requests(), 1);
}

void a_cancelled_exchange_closes_its_connection()
{
    pool_fixture fixture(
        [](const std::string&, int) { return scripted_upstream::reply{""}; });
    const auto running = fixture.send("first");
    fixture.process_events();
    cr_assert(fixture.pool->cancel(running));
    fixture.process_events();
    cr_assert_eq(fixture.results.size(), 0U);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

/// A pool is retired when its upstream leaves or the node stops. What waits in
/// it must end at once and never be sent, while the running exchange ends in
/// its own time.
void a_retired_pool_sends_nothing_more()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), "b")};
    });
    fixture.send("running");
    while (fixture.upstream.requests() == 0) {
        fixture.context.run_one();
    }
    fixture.send("queued");
    fixture.pool->retire();
    cr_assert(fixture.ended_ids == std::vector<std::string>{"queued"});
    cr_assert(fixture.results[0].status == forward_status::not_sent);
    fixture.run_until(2);
    fixture.send("late");
    fixture.run_until(3);
    for (std::size_t index = 0; index < fixture.results.size(); ++index) {
        cr_assert(fixture.results[index].status ==
                  (fixture.ended_ids[index] == "running"
                       ? forward_status::answered
                       : forward_status::not_sent));
    }
    cr_assert_eq(fixture.upstream.requests(), 1);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

/// An upstream drains while requests wait for a connection to it. They must not
/// be sent to it later, nor may new ones; the running exchange goes on.
void requests_are_withheld_from_a_draining_upstream()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), "b")};
    });
    fixture.send("running");
    while (fixture.upstream.requests() == 0) {
        fixture.context.run_one();
    }
    fixture.send("queued");
    fixture.takes_requests = false;
    fixture.pool->apply_permission();
    cr_assert(fixture.ended_ids == std::vector<std::string>{"queued"});
    cr_assert(fixture.results[0].status == forward_status::withheld);
    fixture.send("late");
    fixture.run_until(3);
    fixture.process_events();
    cr_assert_eq(fixture.upstream.requests(), 1);
    cr_assert_eq(fixture.pool->connection_count(), 0U,
                 "the connection of the exchange closes after it");
    fixture.takes_requests = true;
    fixture.send("again");
    fixture.run_until(4);
    cr_assert(fixture.results[3].status == forward_status::answered);
}

/// The upstream drains while the connection for a queued request opens.
void an_opening_connection_sends_nothing_to_a_draining_upstream()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), "b")};
    });
    fixture.send("queued");
    fixture.takes_requests = false;
    fixture.run_until(1);
    fixture.process_events();
    cr_assert(fixture.results[0].status == forward_status::withheld);
    cr_assert_eq(fixture.upstream.requests(), 0);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

void a_refused_connection_is_reported_as_not_sent()
{
    boost::asio::io_context context;
    scripted_upstream other_upstream(context, [](const std::string&, int) {
        return scripted_upstream::reply{};
    });
    pool_fixture fixture(
        [](const std::string&, int) { return scripted_upstream::reply{}; });
    auto target = other_upstream.listen_endpoint();
    target.port = 1;
    fixture.pool = std::make_shared<upstreams::forward_pool>(
        fixture.context, runtime::clock::boot(),
        upstreams::forward_pool::options{
            .connection = {.target = target,
                           .responses = {.request_id_field = "X-Id"}},
            .max_connections = [] { return std::size_t(1); },
            .warm_connections =
                [] {
                    return std::size_t(0);
                }});
    fixture.send("r");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::not_sent);
}

/// An upstream may drop an idle connection without the node noticing. A request
/// that must not be repeated needs a recently used connection or a new one.
void a_fresh_exchange_avoids_a_long_idle_connection()
{
    pool_fixture fixture([](const std::string& header, int) {
        return scripted_upstream::reply{
            make_reply(parse_request_id(header), {})};
    });
    fixture.send("first");
    fixture.run_until(1);
    const auto end = std::chrono::steady_clock::now() + 400ms;
    while (std::chrono::steady_clock::now() < end) {
        fixture.context.run_one_for(20ms);
    }
    fixture.send("order", 0, connection_use::fresh);
    fixture.run_until(2);
    cr_assert(fixture.results[1].status == forward_status::answered);
    cr_assert_eq(fixture.upstream.connections(), 2);
}

} // namespace

Test(forward_pool, reuse)
{
    connections_are_reused();
}
Test(forward_pool, concurrent_responses)
{
    concurrent_responses_are_not_mixed_up();
}
Test(forward_pool, late_duplicate_response)
{
    a_late_duplicate_response_is_skipped();
}
Test(forward_pool, excess_data)
{
    a_connection_with_excess_data_is_closed();
}
Test(forward_pool, no_request_id)
{
    a_response_without_a_request_id_is_rejected();
}
Test(forward_pool, malformed)
{
    malformed_and_truncated_responses_are_broken();
}
Test(forward_pool, no_length)
{
    a_response_without_a_length_ends_with_its_connection();
}
Test(forward_pool, priority)
{
    requests_are_sent_by_priority();
}
Test(forward_pool, cancelled_waiting)
{
    a_cancelled_request_is_never_sent();
}
Test(forward_pool, cancelled_running)
{
    a_cancelled_exchange_closes_its_connection();
}
Test(forward_pool, retired)
{
    a_retired_pool_sends_nothing_more();
}
Test(forward_pool, withheld)
{
    requests_are_withheld_from_a_draining_upstream();
}
Test(forward_pool, withheld_opening)
{
    an_opening_connection_sends_nothing_to_a_draining_upstream();
}
Test(forward_pool, refused)
{
    a_refused_connection_is_reported_as_not_sent();
}
Test(forward_pool, fresh_connection)
{
    a_fresh_exchange_avoids_a_long_idle_connection();
}
