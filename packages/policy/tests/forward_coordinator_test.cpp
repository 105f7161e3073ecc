#include <algorithm>
#include <memory>
#include <string>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using policy::attempt_key;
using policy::attempt_result;
using policy::forward_outcome;
using runtime::duration;
using runtime::time_point;

namespace
{

constexpr time_point start_of_test{1000s};

/// A node's view of some services with two upstreams each, and the requests
/// that it forwards in virtual time.
class node_fixture
{
public:
    explicit node_fixture(std::size_t services, double ratio = 0.2,
                          double allowance = 100.0)
        : directory({[](const policy::upstream_handle&) {},
                     [](const policy::tracked_upstream&) {},
                     [](const policy::tracked_upstream&) {
                     }}),
          context("a", {ratio, allowance, 10s}, 1, start_of_test - 20s)
    {
        for (std::size_t index = 0; index < services; ++index) {
            add("s" + std::to_string(index), "a");
            add("s" + std::to_string(index), "b");
        }
    }

    void add(const std::string& service, const std::string& domain)
    {
        policy::registered_upstream entry;
        entry.id = service + domain;
        entry.service = service;
        entry.failure_domain = domain;
        entry.slots = 2;
        directory.put(entry, start_of_test);
    }

    policy::route fan_out(std::size_t services) const
    {
        policy::route route;
        route.name = "history";
        route.repeat = policy::repeatability::idempotent;
        route.timeout = 1000ms;
        route.latency_target = 100ms;
        route.max_attempts = 2;
        route.top_records = 5;
        route.min_coverage = 0.75;
        for (std::size_t index = 0; index < services; ++index) {
            route.shards.push_back("s" + std::to_string(index));
        }
        return route;
    }

    policy::route single(policy::repeatability repeat) const
    {
        policy::route route;
        route.name = "invoice";
        route.repeat = repeat;
        route.timeout = 1000ms;
        route.latency_target = 100ms;
        route.max_attempts = 2;
        route.services = {{"s0", 1.0}};
        return route;
    }

    policy::upstream_directory directory;
    policy::forward_context context;
};

/// One request in virtual time, and what was decided about it.
class request_fixture
{
public:
    struct sent_attempt {
        attempt_key key;
        std::string upstream;
        time_point at;
    };

    request_fixture(node_fixture& node, policy::route of,
                    time_point started = start_of_test)
        : route(std::move(of)), now(started),
          coordinator(
              node.context, node.directory, route, services(),
              {now, now + 90ms, now + route.timeout},
              {[this](attempt_key key,
                      const policy::upstream_handle& upstream) {
                   sent.push_back({key, upstream->registration.id, now});
               },
               [this](attempt_key key) { cancelled.push_back(key); },
               [this](forward_outcome end) { outcomes.push_back(end); },
               {}})
    {
        coordinator.start(now);
    }

    std::vector<std::string> services() const
    {
        return route.is_fan_out() ? route.shards
                                  : std::vector<std::string>{"s0"};
    }

    /// Lets time pass, with every wake-up that is due.
    void pass(duration step)
    {
        const auto end = now + step;
        while (!coordinator.is_finished() && coordinator.next_wake() <= end) {
            now = std::max(now, coordinator.next_wake());
            coordinator.wake(now);
        }
        now = end;
    }

    void end(attempt_key key, attempt_result result)
    {
        coordinator.attempt_ended(key, result, now);
    }

    void answer_first_attempts_but(std::size_t left_out)
    {
        const auto first = sent;
        for (const auto& each : first) {
            if (each.key.shard != left_out) {
                end(each.key, attempt_result::answered);
            }
        }
    }

    std::size_t attempts_of(std::size_t shard) const
    {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(),
            [&](const sent_attempt& each) { return each.key.shard == shard; }));
    }

    const policy::route route;
    time_point now;
    std::vector<sent_attempt> sent;
    std::vector<attempt_key> cancelled;
    std::vector<forward_outcome> outcomes;
    policy::forward_coordinator coordinator;
};

void answers_of_all_shards_make_a_complete_answer()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    cr_assert_eq(request.sent.size(), 4U);
    request.pass(10ms);
    request.answer_first_attempts_but(99);
    cr_assert(request.outcomes == std::vector{forward_outcome::complete});
}

void the_own_failure_domain_is_asked_first()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    for (const auto& each : request.sent) {
        cr_assert_eq(each.upstream.back(), 'a', "%s", each.upstream.c_str());
    }
}

/// Pattern: one dark shard. Both replicas are silent; the caller gets the
/// rest on time, with true coverage, and both attempts are given up.
void one_dark_shard_gives_a_partial_answer_on_time()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(10ms);
    request.answer_first_attempts_but(2);
    request.pass(79ms);
    cr_assert(request.outcomes.empty(), "the target has not passed yet");
    request.pass(2ms);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
    cr_assert_eq(request.coordinator.answered_count(), 3U);
    cr_assert_eq(request.cancelled.size(), 2U);
    cr_assert(!request.coordinator.winner(2));
}

/// Pattern: one dark shard that is known to be gone. Nothing is gained by
/// waiting, so the answer leaves at once.
void a_shard_without_upstreams_is_not_waited_for()
{
    node_fixture node(4);
    auto route = node.fan_out(4);
    route.shards.push_back("gone");
    request_fixture request(node, route);
    request.pass(10ms);
    request.answer_first_attempts_but(99);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
}

/// Pattern: too many shards gone. It cannot be served, so it is refused
/// before anything is sent on, and the promise is true.
void a_request_without_any_upstream_is_refused_at_once()
{
    node_fixture node(0);
    request_fixture request(node, node.fan_out(4));
    cr_assert(request.outcomes == std::vector{forward_outcome::not_executed});
    cr_assert(request.sent.empty());
}

void a_request_that_cannot_reach_its_coverage_ends_at_once()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(5ms);
    // Both replicas of two shards fail: at most half of the shards are left.
    for (int round = 0; round < 2; ++round) {
        const auto sent = request.sent;
        for (const auto& each : sent) {
            if (each.key.shard < 2) {
                request.end(each.key, attempt_result::broken);
            }
        }
    }
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

/// Pattern: slow replicas across all shards. Each delayed shard gets a
/// second replica once, and the first answer counts.
void a_delayed_shard_is_hedged_at_the_other_replica()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(10ms);
    request.answer_first_attempts_but(1);
    request.pass(50ms);
    cr_assert_eq(request.attempts_of(1), 2U);
    const auto hedge = request.sent.back();
    cr_assert_eq(hedge.upstream.back(), 'b');
    request.end(hedge.key, attempt_result::answered);
    cr_assert(request.outcomes == std::vector{forward_outcome::complete});
    cr_assert_eq(request.cancelled.size(), 1U, "the slow attempt is given up");
}

/// Pattern: this node was slow itself. While most shards are open, hedges
/// would only add load.
void no_hedges_while_most_shards_are_open()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(80ms);
    cr_assert_eq(request.sent.size(), 4U);
}

/// Pattern: upstreams of a shard fail their requests while their health looks
/// good, in a burst. The extra attempts use the window's budget and no more.
void retries_stay_within_the_budget()
{
    constexpr std::size_t requests = 100;
    node_fixture node(4, 0.2, 0.0);
    std::size_t extra = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        request_fixture request(node, node.fan_out(4),
                                start_of_test + index * 1ms);
        request.answer_first_attempts_but(1);
        request.end({1, 0}, attempt_result::failed);
        extra += request.attempts_of(1) - 1;
    }
    cr_assert_eq(extra, requests / 5, "%zu extra attempts", extra);
}

void a_slow_replica_is_avoided_after_a_few_requests()
{
    node_fixture node(4);
    std::size_t asked = 0;
    for (int index = 0; index < 20; ++index) {
        request_fixture request(node, node.fan_out(4),
                                start_of_test + index * 30ms);
        request.pass(10ms);
        const auto sent = request.sent;
        for (const auto& each : sent) {
            if (each.upstream != "s1a") {
                request.end(each.key, attempt_result::answered);
            } else if (index >= 10) {
                ++asked;
            }
        }
        request.pass(50ms);
        if (!request.coordinator.is_finished()) {
            request.end(request.sent.back().key, attempt_result::answered);
        }
    }
    cr_assert(asked <= 2, "the slow replica was asked %zu times", asked);
}

void a_failed_shard_is_retried_at_once()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(5ms);
    request.end({3, 0}, attempt_result::broken);
    cr_assert_eq(request.attempts_of(3), 2U);
    cr_assert_eq(request.sent.back().at, request.now);
}

/// An order whose answer was lost may have been executed: it is neither
/// repeated nor said to be not executed.
void an_order_with_a_lost_answer_is_not_repeated()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::at_most_once));
    request.end({0, 0}, attempt_result::broken);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

void an_order_that_failed_is_not_repeated()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::at_most_once));
    request.end({0, 0}, attempt_result::failed);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes ==
              std::vector{forward_outcome::upstream_failure});
}

void an_order_is_never_hedged()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::at_most_once));
    request.pass(999ms);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes.empty());
    request.pass(2ms);
    cr_assert(request.outcomes == std::vector{forward_outcome::timed_out});
}

void an_order_that_was_refused_may_go_to_another_upstream()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::at_most_once));
    request.end({0, 0}, attempt_result::not_executed);
    cr_assert_eq(request.sent.size(), 2U);
    request.end({0, 1}, attempt_result::not_executed);
    cr_assert(request.outcomes == std::vector{forward_outcome::not_executed});
}

/// "Not executed" must be true: one attempt was refused, the other may have
/// been executed.
void a_refusal_after_a_lost_answer_promises_nothing()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::idempotent));
    request.end({0, 0}, attempt_result::broken);
    request.end({0, 1}, attempt_result::not_executed);
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

/// Pattern: many shards refuse. The answer is out of reach while other shards
/// are still at work, so "not executed" would not be true.
void a_refusal_while_attempts_are_open_promises_nothing()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    for (std::size_t shard = 0; shard < 2; ++shard) {
        request.end({shard, 0}, attempt_result::not_executed);
        request.end({shard, 1}, attempt_result::not_executed);
    }
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
    cr_assert_eq(request.cancelled.size(), 2U);
}

/// Pattern: one replica of each shard refuses most requests while its health
/// looks good, and requests are rare. The others get them.
void an_upstream_that_refuses_often_is_avoided()
{
    node_fixture node(1);
    std::size_t first_choices = 0;
    for (int index = 0; index < 20; ++index) {
        request_fixture request(node,
                                node.single(policy::repeatability::idempotent),
                                start_of_test + index * 500ms);
        first_choices += request.sent.front().upstream == "s0a" ? 1 : 0;
        while (!request.coordinator.is_finished()) {
            const auto latest = request.sent.back();
            request.end(latest.key, latest.upstream == "s0a"
                                        ? attempt_result::not_executed
                                        : attempt_result::answered);
        }
    }
    cr_assert(first_choices <= 5, "%zu of 20", first_choices);
}

void the_last_failure_is_passed_on_when_nothing_is_left()
{
    node_fixture node(1);
    request_fixture request(node,
                            node.single(policy::repeatability::idempotent));
    request.end({0, 0}, attempt_result::failed);
    request.end({0, 1}, attempt_result::failed);
    cr_assert(request.outcomes ==
              std::vector{forward_outcome::upstream_failure});
    cr_assert(*request.coordinator.last_failure() == (attempt_key{0, 1}));
}

void attempts_are_bounded_by_the_route()
{
    node_fixture node(1);
    node.add("s0", "c");
    node.add("s0", "d");
    request_fixture request(node,
                            node.single(policy::repeatability::idempotent));
    for (std::size_t attempt = 0; attempt < request.sent.size(); ++attempt) {
        request.end({0, attempt}, attempt_result::broken);
    }
    cr_assert_eq(request.sent.size(), 2U);
}

void a_departed_caller_ends_every_attempt()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.coordinator.abandon(request.now);
    cr_assert_eq(request.cancelled.size(), 4U);
    cr_assert(request.outcomes.empty(), "nobody waits for an outcome");
    for (const auto& upstream : node.directory.ready("s0")) {
        cr_assert_eq(upstream->in_flight, 0U);
    }
}

void a_late_answer_after_the_end_changes_nothing()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(10ms);
    request.answer_first_attempts_but(2);
    request.pass(100ms);
    request.end({2, 0}, attempt_result::answered);
    cr_assert_eq(request.outcomes.size(), 1U);
    cr_assert(!request.coordinator.winner(2));
}

/// Below its least coverage an answer is no answer, so it is worth waiting
/// for beyond the target; a late answer is still delivered.
void a_late_answer_is_delivered_once_coverage_suffices()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out(4));
    request.pass(10ms);
    request.end({0, 0}, attempt_result::answered);
    request.end({1, 0}, attempt_result::answered);
    request.pass(300ms);
    cr_assert(request.outcomes.empty());
    request.end({2, 0}, attempt_result::answered);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
}

/// Pattern: an upstream just went away, and retries to its sibling find no
/// connection. What reached no upstream leaves the budget to later requests.
void an_extra_attempt_that_was_not_sent_is_given_back()
{
    node_fixture node(1, 0.0, 1.0);
    request_fixture request(node,
                            node.single(policy::repeatability::idempotent));
    request.end(request.sent[0].key, attempt_result::broken);
    cr_assert_eq(request.sent.size(), 2U);
    cr_assert_lt(node.context.extra_attempts("s0").remaining(request.now), 1.0);
    request.end(request.sent[1].key, attempt_result::not_sent);
    cr_assert_geq(node.context.extra_attempts("s0").remaining(request.now),
                  1.0);
}

} // namespace

Test(forward_coordinator, not_sent_extra)
{
    an_extra_attempt_that_was_not_sent_is_given_back();
}
Test(forward_coordinator, complete)
{
    answers_of_all_shards_make_a_complete_answer();
}
Test(forward_coordinator, own_failure_domain)
{
    the_own_failure_domain_is_asked_first();
}
Test(forward_coordinator, one_dark_shard)
{
    one_dark_shard_gives_a_partial_answer_on_time();
}
Test(forward_coordinator, shard_without_upstreams)
{
    a_shard_without_upstreams_is_not_waited_for();
}
Test(forward_coordinator, no_upstreams)
{
    a_request_without_any_upstream_is_refused_at_once();
}
Test(forward_coordinator, coverage_out_of_reach)
{
    a_request_that_cannot_reach_its_coverage_ends_at_once();
}
Test(forward_coordinator, slow_replicas_across_all_shards)
{
    a_delayed_shard_is_hedged_at_the_other_replica();
}
Test(forward_coordinator, slow_node)
{
    no_hedges_while_most_shards_are_open();
}
Test(forward_coordinator, failing_upstreams_in_a_burst)
{
    retries_stay_within_the_budget();
}
Test(forward_coordinator, slow_replica)
{
    a_slow_replica_is_avoided_after_a_few_requests();
}
Test(forward_coordinator, failed_shard)
{
    a_failed_shard_is_retried_at_once();
}
Test(forward_coordinator, lost_answer_of_an_order)
{
    an_order_with_a_lost_answer_is_not_repeated();
}
Test(forward_coordinator, failed_order)
{
    an_order_that_failed_is_not_repeated();
}
Test(forward_coordinator, silent_order)
{
    an_order_is_never_hedged();
}
Test(forward_coordinator, refused_order)
{
    an_order_that_was_refused_may_go_to_another_upstream();
}
Test(forward_coordinator, true_refusal)
{
    a_refusal_after_a_lost_answer_promises_nothing();
}
Test(forward_coordinator, refusals_across_shards)
{
    a_refusal_while_attempts_are_open_promises_nothing();
}
Test(forward_coordinator, often_refusing_upstream)
{
    an_upstream_that_refuses_often_is_avoided();
}
Test(forward_coordinator, last_failure)
{
    the_last_failure_is_passed_on_when_nothing_is_left();
}
Test(forward_coordinator, attempts_of_the_route)
{
    attempts_are_bounded_by_the_route();
}
Test(forward_coordinator, departed_caller)
{
    a_departed_caller_ends_every_attempt();
}
Test(forward_coordinator, answer_after_the_end)
{
    a_late_answer_after_the_end_changes_nothing();
}
Test(forward_coordinator, late_answer)
{
    a_late_answer_is_delivered_once_coverage_suffices();
}
