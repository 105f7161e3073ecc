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

/// A node's directory of services with two upstreams each, and the context that
/// its requests share in virtual time.
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
            add_upstream("s" + std::to_string(index), "a");
            add_upstream("s" + std::to_string(index), "b");
        }
    }

    void add_upstream(const std::string& service, const std::string& domain)
    {
        policy::registered_upstream entry;
        entry.id = service + domain;
        entry.service = service;
        entry.failure_domain = domain;
        entry.slots = 2;
        directory.put(entry, start_of_test);
    }

    policy::route fan_out_route(std::size_t services) const
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

    policy::route single_route(policy::repeatability repeat) const
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

/// One request in virtual time, with the attempts and outcomes it produced.
class request_fixture
{
public:
    struct sent_attempt {
        attempt_key key;
        std::string upstream;
        time_point at;
    };

    request_fixture(node_fixture& node, policy::route requested_route,
                    time_point started = start_of_test)
        : route(std::move(requested_route)), now(started),
          coordinator(
              node.context, node.directory, route, services(),
              {now, now + 90ms, now + route.timeout},
              {[this](attempt_key key,
                      const policy::upstream_handle& upstream) {
                   sent.push_back({key, upstream->registration.id, now});
               },
               [this](attempt_key key) { cancelled.push_back(key); },
               [this](forward_outcome outcome) { outcomes.push_back(outcome); },
               {}})
    {
        coordinator.start(now);
    }

    std::vector<std::string> services() const
    {
        return route.is_fan_out() ? route.shards
                                  : std::vector<std::string>{"s0"};
    }

    /// Advances the virtual time and runs every wake-up that is due.
    void advance_time(duration step)
    {
        const auto end = now + step;
        while (!coordinator.is_finished() && coordinator.next_wake() <= end) {
            now = std::max(now, coordinator.next_wake());
            coordinator.wake(now);
        }
        now = end;
    }

    void end_attempt(attempt_key key, attempt_result result)
    {
        coordinator.record_attempt_end(key, result, now);
    }

    void answer_first_attempts_except(std::size_t excluded_shard)
    {
        const auto first = sent;
        for (const auto& each : first) {
            if (each.key.shard != excluded_shard) {
                end_attempt(each.key, attempt_result::answered);
            }
        }
    }

    std::size_t attempt_count(std::size_t shard) const
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

/// A node that stops has to answer the requests that are open, with the shards
/// that have answered or with a failure that is true.
void a_request_that_is_ended_early_gets_what_is_known()
{
    node_fixture node(4);
    request_fixture covered(node, node.fan_out_route(4));
    covered.answer_first_attempts_except(1);
    covered.coordinator.end_early(covered.now);
    cr_assert(covered.outcomes == std::vector{forward_outcome::partial});
    cr_assert_eq(covered.cancelled.size(), 1U);

    request_fixture uncovered(node, node.fan_out_route(4));
    uncovered.coordinator.end_early(uncovered.now);
    cr_assert(uncovered.outcomes == std::vector{forward_outcome::unknown});
    cr_assert_eq(uncovered.cancelled.size(), 4U);

    request_fixture order(
        node, node.single_route(policy::repeatability::at_most_once));
    order.coordinator.end_early(order.now);
    order.coordinator.end_early(order.now);
    cr_assert(order.outcomes == std::vector{forward_outcome::unknown});
}

/// The upstreams of two of four shards have asked for a pause, so the least
/// coverage can't be reached. Nothing is sent, and the refusal says so.
void a_fan_out_that_cannot_be_covered_is_refused_before_it_is_sent()
{
    node_fixture node(4);
    for (const auto* service : {"s1", "s2"}) {
        for (const auto& each : node.directory.find_ready(service)) {
            each->pause.extend(4s, 0.0, start_of_test);
        }
    }
    request_fixture request(node, node.fan_out_route(4));
    cr_assert(request.sent.empty());
    cr_assert(request.outcomes == std::vector{forward_outcome::not_executed});
}

/// One shard of four may be missing, and neither its first attempt nor a hedge
/// goes to an upstream that has asked for a pause.
void a_paused_shard_counts_as_missing()
{
    node_fixture node(4);
    for (const auto& each : node.directory.find_ready("s1")) {
        each->pause.extend(4s, 0.0, start_of_test);
    }
    request_fixture request(node, node.fan_out_route(4));
    cr_assert_eq(request.attempt_count(1), 0U);
    request.advance_time(10ms);
    request.answer_first_attempts_except(99);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
}

/// The upstream of the own failure domain is preferred, but has asked for a
/// pause.
void requests_go_elsewhere_during_a_pause()
{
    node_fixture node(1);
    for (const auto& each : node.directory.find_ready("s0")) {
        if (each->registration.failure_domain == "a") {
            each->pause.extend(4s, 0.0, start_of_test);
        }
    }
    request_fixture order(
        node, node.single_route(policy::repeatability::at_most_once));
    cr_assert_eq(order.sent.size(), 1U);
    cr_assert_eq(order.sent.front().upstream, "s0b");
}

void no_hedge_goes_to_a_paused_upstream()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.answer_first_attempts_except(1);
    for (const auto& each : node.directory.find_ready("s1")) {
        each->pause.extend(4s, 0.0, start_of_test);
    }
    request.advance_time(80ms);
    cr_assert_eq(request.attempt_count(1), 1U);
}

void answers_from_all_shards_complete_the_request()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    cr_assert_eq(request.sent.size(), 4U);
    request.advance_time(10ms);
    request.answer_first_attempts_except(99);
    cr_assert(request.outcomes == std::vector{forward_outcome::complete});
}

void the_own_failure_domain_is_preferred()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    for (const auto& each : request.sent) {
        cr_assert_eq(each.upstream.back(), 'a', "%s", each.upstream.c_str());
    }
}

/// Both replicas of one shard do not answer. The caller gets the other shards
/// on time, with the correct coverage, and both attempts are cancelled.
void an_unresponsive_shard_gives_a_partial_answer_on_time()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(10ms);
    request.answer_first_attempts_except(2);
    request.advance_time(79ms);
    cr_assert(request.outcomes.empty(), "the target has not passed yet");
    request.advance_time(2ms);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
    cr_assert_eq(request.coordinator.answered_count(), 3U);
    cr_assert_eq(request.cancelled.size(), 2U);
    cr_assert(!request.coordinator.winner(2));
}

/// A shard has no upstreams, so waiting for it cannot improve the answer.
void a_shard_without_upstreams_does_not_delay_the_answer()
{
    node_fixture node(4);
    auto route = node.fan_out_route(4);
    route.shards.push_back("gone");
    request_fixture request(node, route);
    request.advance_time(10ms);
    request.answer_first_attempts_except(99);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
}

/// Too few shards have upstreams. The request is rejected before anything is
/// sent, so "not executed" is correct.
void a_request_without_upstreams_is_rejected_immediately()
{
    node_fixture node(0);
    request_fixture request(node, node.fan_out_route(4));
    cr_assert(request.outcomes == std::vector{forward_outcome::not_executed});
    cr_assert(request.sent.empty());
}

void a_request_ends_when_its_coverage_becomes_unattainable()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(5ms);
    // Both replicas of two shards fail: at most half of the shards are left.
    for (int round = 0; round < 2; ++round) {
        const auto sent = request.sent;
        for (const auto& each : sent) {
            if (each.key.shard < 2) {
                request.end_attempt(each.key, attempt_result::broken);
            }
        }
    }
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

/// The request to a delayed shard is sent once to its second replica, and the
/// first answer counts.
void a_delayed_shard_is_hedged_to_the_other_replica()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(10ms);
    request.answer_first_attempts_except(1);
    request.advance_time(50ms);
    cr_assert_eq(request.attempt_count(1), 2U);
    const auto hedge = request.sent.back();
    cr_assert_eq(hedge.upstream.back(), 'b');
    request.end_attempt(hedge.key, attempt_result::answered);
    cr_assert(request.outcomes == std::vector{forward_outcome::complete});
    cr_assert_eq(request.cancelled.size(), 1U, "the slow attempt is cancelled");
}

/// If most shards are open, this node itself is probably slow, and hedges would
/// only add load.
void no_hedges_while_most_shards_are_open()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(80ms);
    cr_assert_eq(request.sent.size(), 4U);
}

/// The upstreams of a shard fail a burst of requests although they look
/// healthy. The extra attempts must use up the window's budget and no more.
void retries_stay_within_the_budget()
{
    constexpr std::size_t requests = 100;
    node_fixture node(4, 0.2, 0.0);
    std::size_t extra_attempts = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        request_fixture request(node, node.fan_out_route(4),
                                start_of_test + index * 1ms);
        request.answer_first_attempts_except(1);
        request.end_attempt({1, 0}, attempt_result::failed);
        extra_attempts += request.attempt_count(1) - 1;
    }
    cr_assert_eq(extra_attempts, requests / 5, "%zu extra attempts",
                 extra_attempts);
}

void a_slow_replica_is_avoided_after_a_few_requests()
{
    node_fixture node(4);
    std::size_t slow_attempts = 0;
    for (int index = 0; index < 20; ++index) {
        request_fixture request(node, node.fan_out_route(4),
                                start_of_test + index * 30ms);
        request.advance_time(10ms);
        const auto sent = request.sent;
        for (const auto& each : sent) {
            if (each.upstream != "s1a") {
                request.end_attempt(each.key, attempt_result::answered);
            } else if (index >= 10) {
                ++slow_attempts;
            }
        }
        request.advance_time(50ms);
        if (!request.coordinator.is_finished()) {
            request.end_attempt(request.sent.back().key,
                                attempt_result::answered);
        }
    }
    cr_assert(slow_attempts <= 2, "the slow replica was chosen %zu times",
              slow_attempts);
}

void a_failed_shard_is_retried_immediately()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(5ms);
    request.end_attempt({3, 0}, attempt_result::broken);
    cr_assert_eq(request.attempt_count(3), 2U);
    cr_assert_eq(request.sent.back().at, request.now);
}

/// An order whose answer was lost may have been executed: it must not be
/// retried or reported as not executed.
void an_order_with_a_lost_answer_is_not_retried()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::at_most_once));
    request.end_attempt({0, 0}, attempt_result::broken);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

void a_failed_order_is_not_retried()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::at_most_once));
    request.end_attempt({0, 0}, attempt_result::failed);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes ==
              std::vector{forward_outcome::upstream_failure});
}

void an_order_is_never_hedged()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::at_most_once));
    request.advance_time(999ms);
    cr_assert_eq(request.sent.size(), 1U);
    cr_assert(request.outcomes.empty());
    request.advance_time(2ms);
    cr_assert(request.outcomes == std::vector{forward_outcome::timed_out});
}

void a_refused_order_is_sent_to_another_upstream()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::at_most_once));
    request.end_attempt({0, 0}, attempt_result::not_executed);
    cr_assert_eq(request.sent.size(), 2U);
    request.end_attempt({0, 1}, attempt_result::not_executed);
    cr_assert(request.outcomes == std::vector{forward_outcome::not_executed});
}

/// One attempt was refused, but the other may have been executed, so the
/// outcome must not be "not executed".
void a_refusal_after_a_lost_answer_is_an_unknown_outcome()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::idempotent));
    request.end_attempt({0, 0}, attempt_result::broken);
    request.end_attempt({0, 1}, attempt_result::not_executed);
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
}

/// So many shards refuse that the coverage is unattainable, while attempts at
/// other shards are open: the outcome must not be "not executed".
void refusals_with_open_attempts_are_an_unknown_outcome()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    for (std::size_t shard = 0; shard < 2; ++shard) {
        request.end_attempt({shard, 0}, attempt_result::not_executed);
        request.end_attempt({shard, 1}, attempt_result::not_executed);
    }
    cr_assert(request.outcomes == std::vector{forward_outcome::unknown});
    cr_assert_eq(request.cancelled.size(), 2U);
}

/// One replica refuses every request although it looks healthy, and requests
/// are rare. Most requests must go to the other replica.
void an_upstream_that_refuses_often_is_avoided()
{
    node_fixture node(1);
    std::size_t first_choices = 0;
    for (int index = 0; index < 20; ++index) {
        request_fixture request(
            node, node.single_route(policy::repeatability::idempotent),
            start_of_test + index * 500ms);
        first_choices += request.sent.front().upstream == "s0a" ? 1 : 0;
        while (!request.coordinator.is_finished()) {
            const auto latest = request.sent.back();
            request.end_attempt(latest.key, latest.upstream == "s0a"
                                                ? attempt_result::not_executed
                                                : attempt_result::answered);
        }
    }
    cr_assert(first_choices <= 5, "%zu of 20", first_choices);
}

void the_last_failure_is_passed_on_when_no_replica_is_left()
{
    node_fixture node(1);
    request_fixture request(
        node, node.single_route(policy::repeatability::idempotent));
    request.end_attempt({0, 0}, attempt_result::failed);
    request.end_attempt({0, 1}, attempt_result::failed);
    cr_assert(request.outcomes ==
              std::vector{forward_outcome::upstream_failure});
    cr_assert(*request.coordinator.last_failure() == (attempt_key{0, 1}));
}

void the_route_limits_the_number_of_attempts()
{
    node_fixture node(1);
    node.add_upstream("s0", "c");
    node.add_upstream("s0", "d");
    request_fixture request(
        node, node.single_route(policy::repeatability::idempotent));
    for (std::size_t attempt = 0; attempt < request.sent.size(); ++attempt) {
        request.end_attempt({0, attempt}, attempt_result::broken);
    }
    cr_assert_eq(request.sent.size(), 2U);
}

void abandoning_a_request_cancels_every_attempt()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.coordinator.abandon(request.now);
    cr_assert_eq(request.cancelled.size(), 4U);
    cr_assert(request.outcomes.empty(),
              "an abandoned request reports no outcome");
    for (const auto& upstream : node.directory.find_ready("s0")) {
        cr_assert_eq(upstream->in_flight, 0U);
    }
}

void an_answer_after_the_outcome_is_ignored()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(10ms);
    request.answer_first_attempts_except(2);
    request.advance_time(100ms);
    request.end_attempt({2, 0}, attempt_result::answered);
    cr_assert_eq(request.outcomes.size(), 1U);
    cr_assert(!request.coordinator.winner(2));
}

/// An answer below the minimum coverage is useless to the caller, so the
/// request waits beyond the latency target and delivers a late answer.
void a_late_answer_is_delivered_once_coverage_is_sufficient()
{
    node_fixture node(4);
    request_fixture request(node, node.fan_out_route(4));
    request.advance_time(10ms);
    request.end_attempt({0, 0}, attempt_result::answered);
    request.end_attempt({1, 0}, attempt_result::answered);
    request.advance_time(300ms);
    cr_assert(request.outcomes.empty());
    request.end_attempt({2, 0}, attempt_result::answered);
    cr_assert(request.outcomes == std::vector{forward_outcome::partial});
}

/// A retry goes to an upstream that has just gone away and finds no connection.
/// Since it sent nothing, its budget must remain available to later requests.
void an_extra_attempt_that_was_not_sent_is_refunded()
{
    node_fixture node(1, 0.0, 1.0);
    request_fixture request(
        node, node.single_route(policy::repeatability::idempotent));
    request.end_attempt(request.sent[0].key, attempt_result::broken);
    cr_assert_eq(request.sent.size(), 2U);
    cr_assert_lt(node.context.extra_attempts("s0").remaining(request.now), 1.0);
    request.end_attempt(request.sent[1].key, attempt_result::not_sent);
    cr_assert_geq(node.context.extra_attempts("s0").remaining(request.now),
                  1.0);
}

} // namespace

Test(forward_coordinator, paused_shards)
{
    a_fan_out_that_cannot_be_covered_is_refused_before_it_is_sent();
}
Test(forward_coordinator, paused_shard)
{
    a_paused_shard_counts_as_missing();
}
Test(forward_coordinator, paused_elsewhere)
{
    requests_go_elsewhere_during_a_pause();
}
Test(forward_coordinator, paused_hedge)
{
    no_hedge_goes_to_a_paused_upstream();
}
Test(forward_coordinator, ended_early)
{
    a_request_that_is_ended_early_gets_what_is_known();
}
Test(forward_coordinator, not_sent_extra)
{
    an_extra_attempt_that_was_not_sent_is_refunded();
}
Test(forward_coordinator, complete)
{
    answers_from_all_shards_complete_the_request();
}
Test(forward_coordinator, own_failure_domain)
{
    the_own_failure_domain_is_preferred();
}
Test(forward_coordinator, unresponsive_shard)
{
    an_unresponsive_shard_gives_a_partial_answer_on_time();
}
Test(forward_coordinator, shard_without_upstreams)
{
    a_shard_without_upstreams_does_not_delay_the_answer();
}
Test(forward_coordinator, no_upstreams)
{
    a_request_without_upstreams_is_rejected_immediately();
}
Test(forward_coordinator, unattainable_coverage)
{
    a_request_ends_when_its_coverage_becomes_unattainable();
}
Test(forward_coordinator, hedge)
{
    a_delayed_shard_is_hedged_to_the_other_replica();
}
Test(forward_coordinator, slow_node)
{
    no_hedges_while_most_shards_are_open();
}
Test(forward_coordinator, retry_budget)
{
    retries_stay_within_the_budget();
}
Test(forward_coordinator, slow_replica)
{
    a_slow_replica_is_avoided_after_a_few_requests();
}
Test(forward_coordinator, failed_shard)
{
    a_failed_shard_is_retried_immediately();
}
Test(forward_coordinator, lost_answer_of_an_order)
{
    an_order_with_a_lost_answer_is_not_retried();
}
Test(forward_coordinator, failed_order)
{
    a_failed_order_is_not_retried();
}
Test(forward_coordinator, unanswered_order)
{
    an_order_is_never_hedged();
}
Test(forward_coordinator, refused_order)
{
    a_refused_order_is_sent_to_another_upstream();
}
Test(forward_coordinator, refusal_after_lost_answer)
{
    a_refusal_after_a_lost_answer_is_an_unknown_outcome();
}
Test(forward_coordinator, refusals_with_open_attempts)
{
    refusals_with_open_attempts_are_an_unknown_outcome();
}
Test(forward_coordinator, often_refusing_upstream)
{
    an_upstream_that_refuses_often_is_avoided();
}
Test(forward_coordinator, last_failure)
{
    the_last_failure_is_passed_on_when_no_replica_is_left();
}
Test(forward_coordinator, max_attempts)
{
    the_route_limits_the_number_of_attempts();
}
Test(forward_coordinator, abandoned_request)
{
    abandoning_a_request_cancels_every_attempt();
}
Test(forward_coordinator, answer_after_outcome)
{
    an_answer_after_the_outcome_is_ignored();
}
Test(forward_coordinator, late_answer)
{
    a_late_answer_is_delivered_once_coverage_is_sufficient();
}
