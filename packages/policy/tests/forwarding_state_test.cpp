#include <algorithm>
#include <deque>
#include <functional>
#include <rapidcheck.h>
#include <set>
#include <tamarackhoist/policy/extra_attempt_window.hpp>
#include <tamarackhoist/policy/forward_context.hpp>
#include <tamarackhoist/policy/record_merge.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/policy/upstream_health.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using runtime::time_point;

namespace
{

constexpr time_point start_of_test{1000s};

/// In any window, extra attempts stay within the ratio of the requests of
/// that window and the one before, and the allowance.
void extra_attempts_keep_their_bound()
{
    const bool holds = rc::check([] {
        const double ratio = *rc::gen::element(0.0, 0.1, 0.2, 0.5);
        const double allowance = *rc::gen::element(0.0, 3.0, 10.0);
        policy::extra_attempt_window window({ratio, allowance, 10s},
                                            start_of_test);
        struct event {
            time_point at;
            bool is_extra;
        };
        std::deque<event> events;
        auto now = start_of_test;
        const auto steps = *rc::gen::inRange(1, 400);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            if (*rc::gen::inRange(0, 2) == 0) {
                window.record_request(now);
                events.push_back({now, false});
            } else if (window.try_acquire(now)) {
                events.push_back({now, true});
            }
            double requests = 0.0;
            double extras = 0.0;
            for (const auto& each : events) {
                if (each.is_extra && now - each.at < 10s) {
                    extras += 1.0;
                }
                if (!each.is_extra && now - each.at < 20s) {
                    requests += 1.0;
                }
            }
            RC_ASSERT(extras <= ratio * requests + allowance + 1e-9);
        }
    });
    cr_assert(holds);
}

void a_started_process_has_no_saved_allowance()
{
    policy::extra_attempt_window window({0.0, 10.0, 10s}, start_of_test);
    cr_assert(!window.try_acquire(start_of_test));
    cr_assert(window.try_acquire(start_of_test + 1s));
    cr_assert(!window.try_acquire(start_of_test + 1s));
}

void merged_records_are_the_greatest_of_all()
{
    const bool holds = rc::check([](std::vector<std::string> bodies) {
        const auto count = static_cast<std::size_t>(*rc::gen::inRange(0, 20));
        std::vector<std::string> records;
        std::vector<std::string_view> parts;
        for (auto& body : bodies) {
            parts.emplace_back(body);
            for (std::size_t at = 0; at + 16 <= body.size(); at += 16) {
                records.push_back(body.substr(at, 16));
            }
        }
        std::sort(records.begin(), records.end(), std::greater<>());
        std::string expected;
        for (std::size_t each = 0; each < std::min(count, records.size());
             ++each) {
            expected += records[each];
        }
        RC_ASSERT(policy::merge_records(parts, count) == expected);
    });
    cr_assert(holds);
}

void bytes_compare_as_unsigned_and_remainders_are_dropped()
{
    const std::string high(16, '\xff');
    const std::string low(16, '\x01');
    const std::string first = low + "rest";
    const std::string second = high;
    const std::vector<std::string_view> parts{first, second};
    cr_assert(policy::merge_records(parts, 5) == high + low);
}

void the_longest_prefix_wins()
{
    policy::route outer;
    outer.name = "outer";
    outer.host = "h";
    outer.prefix = "/a/";
    policy::route inner = outer;
    inner.name = "inner";
    inner.prefix = "/a/b/";
    const policy::routing_table table(1, {outer, inner}, {}, {});
    cr_assert_eq(table.find("h", "/a/b/c")->name, "inner");
    cr_assert_eq(table.find("h", "/a/x")->name, "outer");
    cr_assert_null(table.find("h", "/a"));
    cr_assert_null(table.find("other", "/a/x"));
}

void weights_are_followed_closely()
{
    policy::forward_context context("a", {}, 1, start_of_test);
    policy::route route;
    route.name = "split";
    route.services = {{"heavy", 0.7}, {"light", 0.3}};
    std::size_t heavy = 0;
    constexpr std::size_t requests = 100;
    for (std::size_t each = 0; each < requests; ++each) {
        heavy += context.next_service(route) == "heavy" ? 1 : 0;
    }
    cr_assert(heavy >= 69 && heavy <= 71, "%zu of 100", heavy);
}

void failures_are_avoided_for_longer_each_time()
{
    policy::upstream_health health;
    auto now = start_of_test;
    cr_assert(!health.is_suspect(now));
    health.record_failure(now);
    cr_assert(health.is_suspect(now + 100ms));
    cr_assert(!health.is_suspect(now + 300ms));
    health.record_failure(now);
    cr_assert(health.is_suspect(now + 300ms));
    health.record_success(10ms, 10ms, now);
    cr_assert(!health.is_suspect(now));
}

void slowness_is_forgotten_with_time()
{
    policy::upstream_health health;
    for (int each = 0; each < 10; ++each) {
        health.record_success(100ms, 10ms, start_of_test);
    }
    cr_assert(health.slowness(start_of_test) > 5.0);
    cr_assert(health.slowness(start_of_test + 20s) < 1.1);
}

/// What a directory reported, in order.
class directory_fixture
{
public:
    directory_fixture()
        : directory({[this](const policy::upstream_handle& each) {
                         events.push_back("added " + each->registration.id);
                     },
                     [this](const policy::tracked_upstream& each) {
                         events.push_back("draining " + each.registration.id);
                     },
                     [this](const policy::tracked_upstream& each) {
                         events.push_back("gone " + each.registration.id);
                     }})
    {
    }

    policy::registered_upstream entry(const std::string& id,
                                      std::uint64_t revision) const
    {
        policy::registered_upstream made;
        made.id = id;
        made.service = "s";
        made.address = "10.0.0.1";
        made.port = 80;
        made.started_at = 1;
        made.revision = revision;
        return made;
    }

    std::vector<std::string> events;
    policy::upstream_directory directory;
};

void a_draining_upstream_gets_no_new_requests()
{
    directory_fixture fixture;
    auto entry = fixture.entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    cr_assert_eq(fixture.directory.ready("s").size(), 1U);
    entry.is_draining = true;
    entry.revision = 2;
    fixture.directory.put(entry, start_of_test);
    cr_assert(fixture.directory.ready("s").empty());
    cr_assert_eq(fixture.events.back(), "draining u");
}

void older_news_never_replace_newer()
{
    directory_fixture fixture;
    auto drained = fixture.entry("u", 5);
    drained.is_draining = true;
    fixture.directory.put(drained, start_of_test);
    fixture.directory.put(fixture.entry("u", 4), start_of_test);
    cr_assert(fixture.directory.ready("s").empty());
    fixture.directory.remove("u", 3, start_of_test);
    cr_assert_eq(fixture.directory.size(), 1U);
}

void a_removal_takes_effect_at_once_while_the_store_is_steady()
{
    directory_fixture fixture;
    fixture.directory.put(fixture.entry("u", 1), start_of_test);
    fixture.directory.remove("u", 2, start_of_test);
    cr_assert(fixture.directory.ready("s").empty());
    cr_assert_eq(fixture.events.back(), "gone u");
}

/// Pattern: the store was away and registrations lapsed although their
/// upstreams live. They are back within two seconds, or gone.
void lapsed_registrations_get_a_grace_time()
{
    directory_fixture fixture;
    fixture.directory.put(fixture.entry("kept", 1), start_of_test);
    fixture.directory.put(fixture.entry("lost", 1), start_of_test);
    fixture.directory.extend_grace(start_of_test +
                                   policy::upstream_directory::lapse_grace);
    fixture.directory.replace_all({}, 2, start_of_test);
    cr_assert_eq(fixture.directory.ready("s").size(), 2U);
    fixture.directory.put(fixture.entry("kept", 3), start_of_test + 1s);
    const auto due = fixture.directory.next_expiry();
    cr_assert(due && *due - start_of_test <= 2500ms);
    fixture.directory.expire(*due);
    cr_assert_eq(fixture.directory.ready("s").size(), 1U);
    cr_assert_eq(fixture.events.back(), "gone lost");
}

void a_new_incarnation_is_known_by_its_start()
{
    directory_fixture fixture;
    auto entry = fixture.entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    const auto old = fixture.directory.ready("s").front();
    old->health.record_failure(start_of_test);
    entry.started_at = 2;
    entry.revision = 2;
    fixture.directory.put(entry, start_of_test);
    const auto renewed = fixture.directory.ready("s").front();
    cr_assert(!renewed->health.is_suspect(start_of_test));
    cr_assert(old->is_gone);
    const std::vector<std::string> expected{"added u", "gone u", "added u"};
    cr_assert(fixture.events == expected);
}

} // namespace

Test(extra_attempts, bound)
{
    extra_attempts_keep_their_bound();
}
Test(extra_attempts, restart)
{
    a_started_process_has_no_saved_allowance();
}
Test(record_merge, model)
{
    merged_records_are_the_greatest_of_all();
}
Test(record_merge, bytes)
{
    bytes_compare_as_unsigned_and_remainders_are_dropped();
}
Test(routing_table, longest_prefix)
{
    the_longest_prefix_wins();
}
Test(forward_context, weights)
{
    weights_are_followed_closely();
}
Test(upstream_health, failures)
{
    failures_are_avoided_for_longer_each_time();
}
Test(upstream_health, slowness)
{
    slowness_is_forgotten_with_time();
}
Test(upstream_directory, draining)
{
    a_draining_upstream_gets_no_new_requests();
}
Test(upstream_directory, order_of_news)
{
    older_news_never_replace_newer();
}
Test(upstream_directory, removal)
{
    a_removal_takes_effect_at_once_while_the_store_is_steady();
}
Test(upstream_directory, lapsed_registrations)
{
    lapsed_registrations_get_a_grace_time();
}
Test(upstream_directory, incarnation)
{
    a_new_incarnation_is_known_by_its_start();
}
