#include "scripted_upstream.hpp"
#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <tamarackhoist/upstreams/forward_pool.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using upstreams::connection_use;
using upstreams::forward_result;
using upstreams::forward_status;
using upstreams::id_of;
using upstreams::make_reply;
using upstreams::scripted_upstream;

namespace
{

/// A pool of connections to one scripted upstream.
class pool_fixture
{
public:
    explicit pool_fixture(scripted_upstream::script script,
                          std::size_t connections = 1)
        : upstream(context, std::move(script)),
          pool(std::make_shared<upstreams::forward_pool>(
              context, runtime::clock::boot(),
              upstreams::forward_pool::options{
                  .connection = {.target = upstream.where(),
                                 .request_id_field = "X-Id"},
                  .max_connections = [connections] { return connections; },
                  .warm_connections =
                      [] {
                          return std::size_t(0);
                      }}))
    {
    }

    std::uint64_t send(const std::string& id, std::uint32_t priority = 0,
                       connection_use use = connection_use::any)
    {
        return pool->send(
            priority, use,
            [id] {
                return upstreams::forward_request{
                    "GET / HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n", id,
                    false};
            },
            [this, id](forward_result result) {
                ended.push_back(id);
                results.push_back(std::move(result));
            });
    }

    /// Runs until `count` requests have ended, for a second at most.
    void run_until(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + 1s;
        while (results.size() < count &&
               std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
        }
        cr_assert_eq(results.size(), count, "%zu results", results.size());
    }

    void settle()
    {
        const auto end = std::chrono::steady_clock::now() + 50ms;
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(5ms);
        }
    }

    boost::asio::io_context context;
    scripted_upstream upstream;
    std::shared_ptr<upstreams::forward_pool> pool;
    std::vector<std::string> ended;
    std::vector<forward_result> results;
};

void connections_are_kept()
{
    pool_fixture fixture([](const std::string& head, int) {
        return scripted_upstream::reply{make_reply(id_of(head), "b")};
    });
    for (std::size_t each = 0; each < 5; ++each) {
        fixture.send(std::to_string(each));
        fixture.run_until(each + 1);
        cr_assert(fixture.results.back().status == forward_status::answered);
    }
    cr_assert_eq(fixture.upstream.connections(), 1);
}

/// Many connections become readable in one turn of the loop; each request
/// must get its own bytes.
void answers_that_arrive_together_stay_apart()
{
    constexpr std::size_t connections = 20;
    // More than one read takes, so that a part is there before its read.
    constexpr std::size_t body_bytes = 50'000;
    pool_fixture fixture(
        [](const std::string& head, int) {
            return scripted_upstream::reply{make_reply(
                id_of(head), std::string(body_bytes, id_of(head)[0]))};
        },
        connections);
    std::size_t expected = 0;
    for (int round = 0; round < 20; ++round) {
        for (std::size_t each = 0; each < connections; ++each) {
            fixture.send(std::string(1, static_cast<char>('a' + each)));
        }
        expected += connections;
        fixture.run_until(expected);
    }
    for (std::size_t each = 0; each < expected; ++each) {
        cr_assert(fixture.results[each].status == forward_status::answered);
        cr_assert_eq(fixture.results[each].response.body(),
                     std::string(body_bytes, fixture.ended[each][0]));
    }
}

/// A second answer arrives where the next answer is expected.
void a_late_second_answer_is_skipped()
{
    pool_fixture fixture([](const std::string& head, int number) {
        const auto own = make_reply(id_of(head), "own");
        return scripted_upstream::reply{
            number == 1 ? make_reply("first", "stray") + own : own};
    });
    fixture.send("first");
    fixture.run_until(1);
    fixture.send("second");
    fixture.run_until(2);
    cr_assert_eq(fixture.results[1].response.body(), "own");
}

/// Bytes after an answer belong to no request; the connection is not used
/// again.
void a_connection_with_extra_bytes_is_closed()
{
    pool_fixture fixture([](const std::string& head, int) {
        return scripted_upstream::reply{make_reply(id_of(head), "own") +
                                        make_reply(id_of(head), "again")};
    });
    fixture.send("first");
    fixture.run_until(1);
    cr_assert_eq(fixture.results[0].response.body(), "own");
    fixture.send("second");
    fixture.run_until(2);
    cr_assert_eq(fixture.results[1].response.body(), "own");
    cr_assert_eq(fixture.upstream.connections(), 2);
}

void an_answer_without_an_identity_is_not_taken()
{
    pool_fixture fixture([](const std::string&, int) {
        return scripted_upstream::reply{
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", true};
    });
    fixture.send("first");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::broken);
}

void spoiled_and_cut_answers_are_broken()
{
    const std::vector<std::string> spoiled{
        "\x01\x02 garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 2"};
    for (const auto& bytes : spoiled) {
        pool_fixture fixture([&](const std::string&, int) {
            return scripted_upstream::reply{bytes, true};
        });
        fixture.send("r");
        fixture.run_until(1);
        cr_assert(fixture.results[0].status == forward_status::broken, "%s",
                  bytes.c_str());
    }
}

void an_answer_without_a_length_ends_with_its_connection()
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

void urgent_requests_leave_first()
{
    pool_fixture fixture([](const std::string& head, int) {
        return scripted_upstream::reply{make_reply(id_of(head), {})};
    });
    fixture.send("billing", 2);
    fixture.send("browsing", 1);
    fixture.send("urgent", 0);
    fixture.run_until(3);
    const std::vector<std::string> expected{"urgent", "browsing", "billing"};
    cr_assert(fixture.ended == expected);
    cr_assert_eq(fixture.upstream.connections(), 1);
}

void a_cancelled_request_is_never_sent()
{
    pool_fixture fixture([](const std::string& head, int) {
        return scripted_upstream::reply{make_reply(id_of(head), {})};
    });
    fixture.send("first");
    const auto second = fixture.send("second");
    cr_assert(!fixture.pool->cancel(second));
    fixture.run_until(1);
    fixture.settle();
    cr_assert_eq(fixture.upstream.requests(), 1);
}

void a_cancelled_exchange_closes_its_connection()
{
    pool_fixture fixture(
        [](const std::string&, int) { return scripted_upstream::reply{""}; });
    const auto running = fixture.send("first");
    fixture.settle();
    cr_assert(fixture.pool->cancel(running));
    fixture.settle();
    cr_assert_eq(fixture.results.size(), 0U);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

void a_refused_connection_sends_nothing()
{
    boost::asio::io_context context;
    scripted_upstream gone(context, [](const std::string&, int) {
        return scripted_upstream::reply{};
    });
    pool_fixture fixture(
        [](const std::string&, int) { return scripted_upstream::reply{}; });
    auto target = gone.where();
    target.port = 1;
    fixture.pool = std::make_shared<upstreams::forward_pool>(
        fixture.context, runtime::clock::boot(),
        upstreams::forward_pool::options{
            .connection = {.target = target, .request_id_field = "X-Id"},
            .max_connections = [] { return std::size_t(1); },
            .warm_connections =
                [] {
                    return std::size_t(0);
                }});
    fixture.send("r");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::not_sent);
}

/// An upstream may drop an idle connection unseen. A request that must not
/// be repeated takes a connection that was used a moment ago, or a new one.
void an_order_does_not_take_an_old_idle_connection()
{
    pool_fixture fixture([](const std::string& head, int) {
        return scripted_upstream::reply{make_reply(id_of(head), {})};
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

Test(forward_pool, kept)
{
    connections_are_kept();
}
Test(forward_pool, concurrent_answers)
{
    answers_that_arrive_together_stay_apart();
}
Test(forward_pool, late_second_answer)
{
    a_late_second_answer_is_skipped();
}
Test(forward_pool, extra_bytes)
{
    a_connection_with_extra_bytes_is_closed();
}
Test(forward_pool, no_identity)
{
    an_answer_without_an_identity_is_not_taken();
}
Test(forward_pool, spoiled)
{
    spoiled_and_cut_answers_are_broken();
}
Test(forward_pool, no_length)
{
    an_answer_without_a_length_ends_with_its_connection();
}
Test(forward_pool, urgency)
{
    urgent_requests_leave_first();
}
Test(forward_pool, cancelled_waiting)
{
    a_cancelled_request_is_never_sent();
}
Test(forward_pool, cancelled_running)
{
    a_cancelled_exchange_closes_its_connection();
}
Test(forward_pool, refused)
{
    a_refused_connection_sends_nothing();
}
Test(forward_pool, order)
{
    an_order_does_not_take_an_old_idle_connection();
}
