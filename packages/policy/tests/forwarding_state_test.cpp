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

/// In any window, the extra attempts never exceed the allowance plus the ratio
/// times the requests of that window and the one before.
/// The nodes of a fleet are cut off from each other, but not from the
/// upstreams. Together they may make no more extra attempts than the fleet may.
void the_shares_of_a_partitioned_fleet_stay_within_the_allowance()
{
    constexpr double fleet_allowance = 52.0;
    constexpr std::size_t spare_nodes = 4;
    constexpr std::size_t nodes = 6;
    double by_remaining_nodes = 0.0;
    double by_live_nodes = 0.0;
    for (std::size_t node = 0; node < nodes; ++node) {
        by_remaining_nodes +=
            policy::allowance_share(fleet_allowance, nodes, spare_nodes);
        by_live_nodes +=
            policy::allowance_share(fleet_allowance, 1, spare_nodes);
    }
    cr_assert(by_remaining_nodes <= fleet_allowance);
    cr_assert(by_live_nodes > fleet_allowance,
              "counting only live nodes is not enough");
}

void extra_attempts_stay_within_the_limits()
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
            double extra_attempts = 0.0;
            for (const auto& event : events) {
                if (event.is_extra && now - event.at < 10s) {
                    extra_attempts += 1.0;
                }
                if (!event.is_extra && now - event.at < 20s) {
                    requests += 1.0;
                }
            }
            RC_ASSERT(extra_attempts <= ratio * requests + allowance + 1e-9);
        }
    });
    cr_assert(holds);
}

void the_allowance_grows_over_the_first_window()
{
    policy::extra_attempt_window window({0.0, 10.0, 10s}, start_of_test);
    cr_assert(!window.try_acquire(start_of_test));
    cr_assert(window.try_acquire(start_of_test + 1s));
    cr_assert(!window.try_acquire(start_of_test + 1s));
}

void merged_records_match_a_full_sort()
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
        for (std::size_t index = 0; index < std::min(count, records.size());
             ++index) {
            expected += records[index];
        }
        RC_ASSERT(policy::merge_records(parts, count) == expected);
    });
    cr_assert(holds);
}

void bytes_compare_as_unsigned_and_partial_records_are_dropped()
{
    const std::string high(16, '\xff');
    const std::string low(16, '\x01');
    const std::string first = low + "rest";
    const std::string second = high;
    const std::vector<std::string_view> parts{first, second};
    cr_assert(policy::merge_records(parts, 5) == high + low);
}

/// One shard's answer may be far larger than what a fan-out needs of it.
void records_that_cannot_win_are_left_out()
{
    const std::string high(16, '\xff');
    const std::string low(16, '\x01');
    cr_assert_eq(policy::keep_greatest_records(low + high + "rest", 5),
                 low + high + "rest");
    cr_assert_eq(policy::keep_greatest_records(low + high + low, 2),
                 high + low);
    cr_assert_eq(policy::keep_greatest_records(low + high + low, 0), "");
}

void the_longest_matching_prefix_is_selected()
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

void requests_are_split_by_weight()
{
    policy::forward_context context("a", {}, 1, start_of_test);
    policy::route route;
    route.name = "split";
    route.services = {{"heavy", 0.7}, {"light", 0.3}};
    std::size_t heavy = 0;
    constexpr std::size_t requests = 100;
    for (std::size_t index = 0; index < requests; ++index) {
        heavy += context.next_service(route) == "heavy" ? 1 : 0;
    }
    cr_assert(heavy >= 69 && heavy <= 71, "%zu of 100", heavy);
}

void repeated_failures_prolong_the_suspicion()
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

void slowness_decays_over_time()
{
    policy::upstream_health health;
    for (int sample = 0; sample < 10; ++sample) {
        health.record_success(100ms, 10ms, start_of_test);
    }
    cr_assert(health.slowness(start_of_test) > 5.0);
    cr_assert(health.slowness(start_of_test + 20s) < 1.1);
}

/// A directory and the events that it reported, in order.
class directory_fixture
{
public:
    directory_fixture()
        : directory({[this](const policy::upstream_handle& upstream) {
                         events.push_back("added " + upstream->registration.id);
                     },
                     [this](const policy::tracked_upstream& upstream) {
                         events.push_back("draining " +
                                          upstream.registration.id);
                     },
                     [this](const policy::tracked_upstream& upstream) {
                         events.push_back("gone " + upstream.registration.id);
                     }})
    {
    }

    policy::registered_upstream make_entry(const std::string& id,
                                           std::uint64_t revision,
                                           std::uint64_t era = 1) const
    {
        policy::registered_upstream registration;
        registration.id = id;
        registration.service = "s";
        registration.address = "10.0.0.1";
        registration.port = 80;
        registration.started_at = 1;
        registration.position = {era, revision};
        return registration;
    }

    std::vector<std::string> events;
    policy::upstream_directory directory;
};

void a_draining_upstream_gets_no_new_requests()
{
    directory_fixture fixture;
    auto entry = fixture.make_entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    cr_assert_eq(fixture.directory.find_ready("s").size(), 1U);
    entry.is_draining = true;
    entry.position = {1, 2};
    fixture.directory.put(entry, start_of_test);
    cr_assert(fixture.directory.find_ready("s").empty());
    cr_assert_eq(fixture.events.back(), "draining u");
}

/// The store may learn late, or never, that an upstream leaves. What the
/// upstream has said in an answer holds for its incarnation.
void an_upstream_that_says_it_leaves_gets_no_new_requests()
{
    using policy::hold_reason;
    directory_fixture fixture;
    auto entry = fixture.make_entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    const auto leaving = fixture.directory.find_ready("s").front();
    fixture.directory.record_leaving(*leaving);
    fixture.directory.record_leaving(*leaving);
    cr_assert(fixture.directory.find_ready("s").empty());
    cr_assert(leaving->permission(start_of_test).reason ==
              hold_reason::leaving);
    entry.position = {1, 2};
    fixture.directory.put(entry, start_of_test);
    cr_assert(fixture.directory.find_ready("s").empty(),
              "a later registration does not take it back");
    entry.position = {1, 3};
    entry.is_draining = true;
    fixture.directory.put(entry, start_of_test);
    cr_assert(fixture.events ==
              (std::vector<std::string>{"added u", "draining u"}));
    entry.position = {1, 4};
    entry.is_draining = false;
    entry.started_at = 2;
    fixture.directory.put(entry, start_of_test);
    cr_assert_eq(fixture.directory.find_ready("s").size(), 1U);
    fixture.directory.record_leaving(*leaving);
    cr_assert_eq(fixture.directory.find_ready("s").size(), 1U,
                 "a late answer of the old incarnation");
}

/// The pause that an upstream has asked for ends with its incarnation.
void a_paused_upstream_returns_at_the_end_of_its_pause()
{
    using policy::hold_reason;
    directory_fixture fixture;
    auto entry = fixture.make_entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    const auto paused = fixture.directory.find_ready("s").front();
    cr_assert(!fixture.directory.earliest_return("s", start_of_test));
    paused->pause.extend(4s, 0.0, start_of_test);
    cr_assert(paused->permission(start_of_test).reason == hold_reason::paused);
    cr_assert(fixture.directory.earliest_return("s", start_of_test) ==
              start_of_test + 4s);
    fixture.directory.put(fixture.make_entry("v", 1), start_of_test);
    cr_assert(!fixture.directory.earliest_return("s", start_of_test),
              "another upstream takes requests now");
    entry.position = {1, 2};
    fixture.directory.put(entry, start_of_test);
    cr_assert(!paused->permission(start_of_test).is_granted());
    entry.position = {1, 3};
    entry.started_at = 2;
    fixture.directory.put(entry, start_of_test);
    for (const auto& each : fixture.directory.find_ready("s")) {
        cr_assert(each->permission(start_of_test).is_granted());
    }
}

/// A relay reads the answers of upstreams that another node has chosen. What
/// they say of themselves holds on that node as well.
void what_an_upstream_says_is_passed_on_for_its_incarnation()
{
    directory_fixture relay;
    directory_fixture caller;
    for (auto* each : {&relay, &caller}) {
        each->directory.put(each->make_entry("u", 1), start_of_test);
        each->directory.put(each->make_entry("v", 1), start_of_test);
    }
    cr_assert(!relay.directory.find_hold("u", start_of_test));
    cr_assert(!relay.directory.find_hold("unknown", start_of_test));
    for (const auto& each : relay.directory.find_ready("s")) {
        if (each->registration.id == "v") {
            each->pause.extend(4s, 0.0, start_of_test);
        }
    }
    const auto paused = relay.directory.find_hold("v", start_of_test + 1s);
    cr_assert(paused && paused->pause_left == 3s && !paused->is_leaving);
    caller.directory.record_hold("v", *paused, start_of_test + 1s);
    const policy::upstream_hold leaving{1, true, {}};
    caller.directory.record_hold("u", {2, true, {}}, start_of_test);
    cr_assert_eq(caller.directory.find_ready("s").size(), 2U,
                 "another incarnation");
    caller.directory.record_hold("u", leaving, start_of_test);
    cr_assert_eq(caller.directory.find_ready("s").size(), 1U);
    cr_assert(caller.directory.find_hold("u", start_of_test) == leaving);
    cr_assert(caller.directory.earliest_return("s", start_of_test + 1s) ==
              start_of_test + 4s);
}

void older_revisions_are_ignored()
{
    directory_fixture fixture;
    auto drained = fixture.make_entry("u", 5);
    drained.is_draining = true;
    fixture.directory.put(drained, start_of_test);
    fixture.directory.put(fixture.make_entry("u", 4), start_of_test);
    cr_assert(fixture.directory.find_ready("s").empty());
    fixture.directory.remove("u", {1, 3}, start_of_test);
    cr_assert_eq(fixture.directory.size(), 1U);
}

/// An upstream that reports that it is ready again, without a restart, takes
/// requests again.
void a_drain_can_be_taken_back()
{
    directory_fixture fixture;
    auto entry = fixture.make_entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    const auto upstream = fixture.directory.find_ready("s").front();
    entry.position = {1, 2};
    entry.is_draining = true;
    fixture.directory.put(entry, start_of_test);
    cr_assert(!upstream->permission(start_of_test).is_granted());
    entry.position = {1, 3};
    entry.is_draining = false;
    fixture.directory.put(entry, start_of_test);
    cr_assert(upstream->permission(start_of_test).is_granted());
    cr_assert_eq(fixture.directory.find_ready("s").size(), 1U);
}

/// Guards against an upstream that drained, was gone, or was replaced, and is
/// used again because a restored store lists it as it was before.
void a_restored_store_brings_no_withdrawn_upstream_back()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    std::vector<policy::registered_upstream> before;
    std::vector<policy::registered_upstream> restored;
    for (const auto* id : {"drained", "gone", "replaced", "sound"}) {
        before.push_back(fixture.make_entry(id, 1));
        restored.push_back(fixture.make_entry(id, 1, 2));
    }
    directory.replace_all(before, {1, 1}, start_of_test);
    auto drained = fixture.make_entry("drained", 5);
    drained.is_draining = true;
    directory.put(drained, start_of_test);
    directory.remove("gone", {1, 6}, start_of_test);
    auto replacement = fixture.make_entry("replaced", 7);
    replacement.started_at = 2;
    directory.put(replacement, start_of_test);

    directory.replace_all(restored, {2, 2}, start_of_test);
    const auto ids = [&] {
        std::vector<std::string> found;
        for (const auto& each : directory.find_ready("s")) {
            found.push_back(each->registration.id + " " +
                            std::to_string(each->registration.started_at));
        }
        return found;
    };
    using strings = std::vector<std::string>;
    cr_assert(ids() == (strings{"replaced 2", "sound 1"}));
    directory.expire(start_of_test + 2300ms, start_of_test + 2300ms);
    cr_assert(ids() == (strings{"sound 1"}),
              "the replacement has not registered again");
    replacement.position = {2, 3};
    directory.put(replacement, start_of_test + 2500ms);
    directory.put(fixture.make_entry("gone", 4, 2), start_of_test + 2500ms);
    cr_assert(ids() == (strings{"gone 1", "replaced 2", "sound 1"}),
              "written again in the new era");
}

/// A drain that was taken back is written again, or stays listed.
void a_drain_taken_back_in_a_restored_store_is_believed_later()
{
    for (const bool is_written_again : {true, false}) {
        directory_fixture fixture;
        auto& directory = fixture.directory;
        auto drained = fixture.make_entry("u", 9);
        drained.is_draining = true;
        directory.replace_all(std::vector{drained}, {1, 9}, start_of_test);
        directory.replace_all(std::vector{fixture.make_entry("u", 1, 2)},
                              {2, 2}, start_of_test);
        directory.expire(start_of_test + 3s, start_of_test + 3s);
        cr_assert(directory.find_ready("s").empty());
        cr_assert_eq(directory.size(), 1U, "its open requests go on");
        if (is_written_again) {
            directory.put(fixture.make_entry("u", 3, 2), start_of_test + 3s);
        } else {
            const auto usable_at =
                start_of_test + policy::upstream_directory::confirmation_time;
            directory.expire(usable_at, usable_at);
        }
        cr_assert_eq(directory.find_ready("s").size(), 1U);
    }
}

/// A departed upstream that the restored store goes on listing lives: the store
/// removes entries that are not renewed.
void a_departed_upstream_that_stays_listed_is_used_later()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 1)}, {1, 1},
                          start_of_test);
    directory.remove("u", {1, 2}, start_of_test);
    const std::vector listed{fixture.make_entry("u", 1, 2)};
    directory.replace_all(listed, {2, 1}, start_of_test);
    directory.replace_all(listed, {2, 9}, start_of_test + 1s);
    cr_assert(directory.find_ready("s").empty());
    const auto due = directory.next_expiry();
    cr_assert(due.has_value());
    directory.expire(*due, *due);
    cr_assert_eq(directory.find_ready("s").size(), 1U);
}

/// It leaves for good if its registration is removed before that.
void a_departed_upstream_that_is_removed_again_is_not_used()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 1)}, {1, 1},
                          start_of_test);
    directory.remove("u", {1, 2}, start_of_test);
    directory.replace_all(std::vector{fixture.make_entry("u", 1, 2)}, {2, 1},
                          start_of_test);
    directory.remove("u", {2, 2}, start_of_test + 1s);
    cr_assert(!directory.next_expiry());
    directory.expire(start_of_test + 1min, start_of_test + 1min);
    cr_assert_eq(directory.size(), 0U);
}

/// Guards against registrations that are kept or dropped by the revisions of
/// another era.
void registrations_are_ordered_by_era_first()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 50)}, {1, 50},
                          start_of_test);
    auto moved = fixture.make_entry("u", 3, 2);
    moved.is_draining = true;
    directory.replace_all(std::vector{moved}, {2, 4}, start_of_test);
    cr_assert(directory.find_ready("s").empty());
    directory.put(fixture.make_entry("u", 60), start_of_test);
    directory.remove("u", {1, 70}, start_of_test);
    directory.expire(start_of_test + 1min, start_of_test + 1min);
    cr_assert(directory.find_ready("s").empty());
    cr_assert_eq(directory.size(), 1U);
}

/// An upstream registered after the copy: two seconds to register again.
void a_restored_store_gives_missing_upstreams_time()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(
        std::vector{fixture.make_entry("back", 40), fixture.make_entry("u", 1)},
        {1, 50}, start_of_test);
    directory.replace_all(std::vector{fixture.make_entry("u", 1, 2)}, {2, 4},
                          start_of_test);
    cr_assert_eq(directory.find_ready("s").size(), 2U);
    directory.put(fixture.make_entry("back", 5, 2), start_of_test + 2s);
    directory.expire(start_of_test + 2300ms, start_of_test + 2300ms);
    cr_assert_eq(directory.find_ready("s").size(), 2U);
}

/// Guards against a started node that uses what its peers know to be gone.
void a_started_node_learns_which_upstreams_are_withdrawn()
{
    directory_fixture peer;
    for (const auto* id : {"drained", "gone", "sound"}) {
        peer.directory.put(peer.make_entry(id, 1), start_of_test);
    }
    auto drained = peer.make_entry("drained", 5);
    drained.is_draining = true;
    peer.directory.put(drained, start_of_test);
    peer.directory.remove("gone", {1, 6}, start_of_test);
    const auto withdrawn = peer.directory.withdrawn();
    cr_assert(withdrawn == (std::vector<policy::withdrawn_upstream>{
                               {"gone", 1, false}, {"drained", 1, false}}));

    std::vector<policy::registered_upstream> listed;
    for (const auto* id : {"drained", "gone", "sound"}) {
        listed.push_back(peer.make_entry(id, 1, 2));
    }
    directory_fixture told_first;
    told_first.directory.record_withdrawn(withdrawn, {2, 1}, start_of_test);
    told_first.directory.replace_all(listed, {2, 1}, start_of_test);
    directory_fixture told_later;
    told_later.directory.replace_all(listed, {2, 1}, start_of_test);
    told_later.directory.record_withdrawn(withdrawn, {2, 1}, start_of_test);
    for (auto* each : {&told_first, &told_later}) {
        const auto ready = each->directory.find_ready("s");
        cr_assert_eq(ready.size(), 1U);
        cr_assert_eq(ready.front()->registration.id, "sound");
    }
}

/// Guards against an upstream that is gone and used again 5 s after a restore,
/// although the store has said nothing since then that it is still listed.
void time_alone_does_not_confirm_a_departed_upstream()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 1)}, {1, 1},
                          start_of_test);
    directory.remove("u", {1, 2}, start_of_test);
    directory.replace_all(std::vector{fixture.make_entry("u", 1, 2)}, {2, 1},
                          start_of_test);
    for (const auto passed : {5s, 20s}) {
        directory.expire(start_of_test + passed, start_of_test + 4s);
        cr_assert(directory.find_ready("s").empty());
        cr_assert(directory.next_expiry() > start_of_test + passed,
                  "it is checked again later, not at once");
    }
    directory.expire(start_of_test + 21s, start_of_test + 5s);
    cr_assert_eq(directory.find_ready("s").size(), 1U);
}

/// Guards against the address of an older incarnation, which a restored store
/// lists, in place of the live one. The node never knew the older one.
void a_restored_store_does_not_bring_an_older_incarnation_back()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    auto restarted = fixture.make_entry("u", 50);
    restarted.started_at = 2;
    restarted.address = "10.0.0.2";
    directory.replace_all(std::vector{restarted}, {1, 50}, start_of_test);
    directory.replace_all(std::vector{fixture.make_entry("u", 5, 2)}, {2, 5},
                          start_of_test);
    const auto ready = directory.find_ready("s");
    cr_assert_eq(ready.size(), 1U);
    cr_assert_eq(ready.front()->registration.started_at, 2U);
    directory.expire(start_of_test + 2300ms, start_of_test + 2300ms);
    cr_assert(directory.find_ready("s").empty(),
              "the live one has not registered again");
}

/// Guards against the loss of a live upstream whose grace period began with the
/// restore before: it has the whole period after the last one.
void a_second_restore_extends_the_grace_period()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 5)}, {1, 5},
                          start_of_test);
    directory.replace_all({}, {2, 3}, start_of_test);
    directory.replace_all({}, {3, 3}, start_of_test + 1500ms);
    directory.expire(start_of_test + 2300ms, start_of_test + 2300ms);
    cr_assert_eq(directory.find_ready("s").size(), 1U);
    directory.expire(start_of_test + 3700ms, start_of_test + 3700ms);
    cr_assert(directory.find_ready("s").empty());
}

/// Guards against a live upstream that is taken out of use, as a peer has not
/// heard yet that it returned.
void an_outdated_peer_withdraws_no_upstream()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 90)}, {1, 95},
                          start_of_test);
    const std::vector<policy::withdrawn_upstream> told{{"u", 1, false}};
    directory.record_withdrawn(told, {1, 89}, start_of_test);
    cr_assert_eq(directory.find_ready("s").size(), 1U);
    directory.record_withdrawn(told, {1, 96}, start_of_test);
    cr_assert(directory.find_ready("s").empty());
}

/// Guards against an upstream that is used although the restored store does not
/// list it: a peer told that it is gone while its grace period lasted, and it
/// took the place of the older incarnation that is listed and held.
void a_withdrawn_upstream_that_is_not_listed_does_not_return()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all(std::vector{fixture.make_entry("u", 1)}, {1, 1},
                          start_of_test);
    auto restarted = fixture.make_entry("u", 2);
    restarted.started_at = 2;
    directory.put(restarted, start_of_test);
    const std::vector listed{fixture.make_entry("u", 1, 2)};
    directory.replace_all(listed, {2, 1}, start_of_test);
    const std::vector<policy::withdrawn_upstream> told{{"u", 1, false},
                                                       {"u", 2, false}};
    directory.record_withdrawn(told, {2, 1}, start_of_test);
    directory.replace_all(listed, {2, 1}, start_of_test);
    cr_assert(directory.find_ready("s").empty());
    directory.expire(start_of_test + 5s, start_of_test + 5s);
    for (const auto& each : directory.find_ready("s")) {
        cr_assert_eq(each->registration.started_at, 1U);
    }
}

/// The same where the store has removed it meanwhile, and a peer that lags says
/// within the grace period that it is gone.
void a_withdrawn_upstream_that_was_removed_does_not_return()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.replace_all({}, {1, 1}, start_of_test);
    directory.replace_all(std::vector{fixture.make_entry("u", 1, 2)}, {2, 1},
                          start_of_test);
    directory.remove("u", {2, 2}, start_of_test);
    const std::vector<policy::withdrawn_upstream> told{{"u", 1, false}};
    directory.record_withdrawn(told, {2, 1}, start_of_test);
    directory.expire(start_of_test + 5s, start_of_test + 5s);
    cr_assert_eq(directory.size(), 0U);
}

/// The same where the answer arrives after its registration has lapsed, before
/// or after it returns.
void an_answer_after_a_lapse_tells_of_leaving()
{
    for (const bool has_returned : {false, true}) {
        directory_fixture fixture;
        auto& directory = fixture.directory;
        directory.put(fixture.make_entry("u", 1), start_of_test);
        const auto before = directory.find_ready("s").front();
        directory.remove("u", {1, 2}, start_of_test);
        if (has_returned) {
            directory.put(fixture.make_entry("u", 3), start_of_test + 1s);
        }
        directory.record_leaving(*before);
        directory.put(fixture.make_entry("u", 4), start_of_test + 1s);
        cr_assert(directory.find_ready("s").empty());
    }
}

/// Guards against requests to an upstream that has asked for a pause, after its
/// registration had lapsed and returned.
void a_lapsed_registration_does_not_end_a_pause()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.put(fixture.make_entry("u", 1), start_of_test);
    directory.find_ready("s").front()->pause.extend(4s, 0.0, start_of_test);
    directory.remove("u", {1, 2}, start_of_test);
    directory.put(fixture.make_entry("u", 3), start_of_test + 1s);
    const auto returned = directory.find_ready("s").front();
    cr_assert(!returned->permission(start_of_test + 1s).is_granted());
    cr_assert(returned->permission(start_of_test + 4s).is_granted());
}

/// Guards against requests to an upstream that has said in an answer that it
/// leaves, after its registration had lapsed and returned.
void a_lapsed_registration_does_not_take_leaving_back()
{
    directory_fixture fixture;
    auto& directory = fixture.directory;
    directory.put(fixture.make_entry("u", 1), start_of_test);
    directory.record_leaving(*directory.find_ready("s").front());
    directory.remove("u", {1, 2}, start_of_test);
    directory.put(fixture.make_entry("u", 3), start_of_test);
    cr_assert(directory.find_ready("s").empty());
}

void a_removal_applies_immediately_outside_the_grace_period()
{
    directory_fixture fixture;
    fixture.directory.put(fixture.make_entry("u", 1), start_of_test);
    fixture.directory.remove("u", {1, 2}, start_of_test);
    cr_assert(fixture.directory.find_ready("s").empty());
    cr_assert_eq(fixture.events.back(), "gone u");
}

/// Registrations lapsed during an outage of the store although their upstreams
/// are alive. Those that are not renewed within the grace period are removed.
void lapsed_registrations_get_a_grace_period()
{
    directory_fixture fixture;
    fixture.directory.put(fixture.make_entry("kept", 1), start_of_test);
    fixture.directory.put(fixture.make_entry("lost", 1), start_of_test);
    fixture.directory.extend_grace(
        start_of_test + policy::upstream_directory::lapsed_registration_grace);
    fixture.directory.replace_all({}, {1, 2}, start_of_test);
    cr_assert_eq(fixture.directory.find_ready("s").size(), 2U);
    fixture.directory.put(fixture.make_entry("kept", 3), start_of_test + 1s);
    const auto due = fixture.directory.next_expiry();
    cr_assert(due && *due - start_of_test <= 2500ms);
    fixture.directory.expire(*due, *due);
    cr_assert_eq(fixture.directory.find_ready("s").size(), 1U);
    cr_assert_eq(fixture.events.back(), "gone lost");
}

void a_new_incarnation_is_detected_by_its_start_time()
{
    directory_fixture fixture;
    auto entry = fixture.make_entry("u", 1);
    fixture.directory.put(entry, start_of_test);
    const auto old = fixture.directory.find_ready("s").front();
    old->health.record_failure(start_of_test);
    entry.started_at = 2;
    entry.position = {1, 2};
    fixture.directory.put(entry, start_of_test);
    const auto renewed = fixture.directory.find_ready("s").front();
    cr_assert(!renewed->health.is_suspect(start_of_test));
    cr_assert(old->is_gone);
    const std::vector<std::string> expected{"added u", "gone u", "added u"};
    cr_assert(fixture.events == expected);
}

} // namespace

Test(extra_attempts, partitioned_fleet)
{
    the_shares_of_a_partitioned_fleet_stay_within_the_allowance();
}
Test(extra_attempts, limits)
{
    extra_attempts_stay_within_the_limits();
}
Test(extra_attempts, restart)
{
    the_allowance_grows_over_the_first_window();
}
Test(record_merge, model)
{
    merged_records_match_a_full_sort();
}
Test(record_merge, large_answer)
{
    records_that_cannot_win_are_left_out();
}
Test(record_merge, bytes)
{
    bytes_compare_as_unsigned_and_partial_records_are_dropped();
}
Test(routing_table, longest_prefix)
{
    the_longest_matching_prefix_is_selected();
}
Test(forward_context, weights)
{
    requests_are_split_by_weight();
}
Test(upstream_health, failures)
{
    repeated_failures_prolong_the_suspicion();
}
Test(upstream_health, slowness)
{
    slowness_decays_over_time();
}
Test(upstream_directory, draining)
{
    a_draining_upstream_gets_no_new_requests();
}
Test(upstream_directory, paused)
{
    a_paused_upstream_returns_at_the_end_of_its_pause();
}
Test(upstream_directory, passed_on)
{
    what_an_upstream_says_is_passed_on_for_its_incarnation();
}
Test(upstream_directory, leaving)
{
    an_upstream_that_says_it_leaves_gets_no_new_requests();
}
Test(upstream_directory, drain_taken_back)
{
    a_drain_can_be_taken_back();
}
Test(upstream_directory, restored_store)
{
    a_restored_store_brings_no_withdrawn_upstream_back();
}
Test(upstream_directory, drain_taken_back_in_restored_store)
{
    a_drain_taken_back_in_a_restored_store_is_believed_later();
}
Test(upstream_directory, departed_but_listed)
{
    a_departed_upstream_that_stays_listed_is_used_later();
}
Test(upstream_directory, departed_and_removed)
{
    a_departed_upstream_that_is_removed_again_is_not_used();
}
Test(upstream_directory, order_of_eras)
{
    registrations_are_ordered_by_era_first();
}
Test(upstream_directory, missing_in_copy)
{
    a_restored_store_gives_missing_upstreams_time();
}
Test(upstream_directory, withdrawn_at_peer)
{
    a_started_node_learns_which_upstreams_are_withdrawn();
}
Test(upstream_directory, unconfirmed_departure)
{
    time_alone_does_not_confirm_a_departed_upstream();
}
Test(upstream_directory, older_incarnation_in_copy)
{
    a_restored_store_does_not_bring_an_older_incarnation_back();
}
Test(upstream_directory, second_restore)
{
    a_second_restore_extends_the_grace_period();
}
Test(upstream_directory, outdated_peer)
{
    an_outdated_peer_withdraws_no_upstream();
}
Test(upstream_directory, withdrawn_and_not_listed)
{
    a_withdrawn_upstream_that_is_not_listed_does_not_return();
}
Test(upstream_directory, withdrawn_and_removed)
{
    a_withdrawn_upstream_that_was_removed_does_not_return();
}
Test(upstream_directory, leaving_said_after_lapse)
{
    an_answer_after_a_lapse_tells_of_leaving();
}
Test(upstream_directory, pause_after_lapse)
{
    a_lapsed_registration_does_not_end_a_pause();
}
Test(upstream_directory, leaving_after_lapse)
{
    a_lapsed_registration_does_not_take_leaving_back();
}
Test(upstream_directory, older_revision)
{
    older_revisions_are_ignored();
}
Test(upstream_directory, removal)
{
    a_removal_applies_immediately_outside_the_grace_period();
}
Test(upstream_directory, lapsed_registrations)
{
    lapsed_registrations_get_a_grace_period();
}
Test(upstream_directory, incarnation)
{
    a_new_incarnation_is_detected_by_its_start_time();
}
