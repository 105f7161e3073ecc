#include <algorithm>
#include <array>
#include <bitset>
#include <rapidcheck.h>
#include <tamarackhoist/policy/admission_control.hpp>
#include <tamarackhoist/policy/attempt_budget.hpp>
#include <tamarackhoist/policy/key_range_set.hpp>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/policy/pause_guard.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using runtime::time_point;

namespace
{

std::vector<policy::priority_class> three_classes()
{
    return {{"urgent", 0, 250ms, 0.5, false, true, 3},
            {"browsing", 1, 1s, 0.2, true, true, 3},
            {"billing", 2, 4s, 0.1, true, false, 2}};
}

/// Owner of one upstream with two slots, which records the calls of its hooks.
class owner_fixture
{
public:
    owner_fixture()
    {
        policy::upstream upstream;
        upstream.name = "u";
        upstream.slots = 2;
        upstream.connections = 25;
        owner = std::make_unique<policy::upstream_owner>(
            upstream, three_classes(),
            policy::upstream_owner::hooks{
                [this](const policy::sub_request& request) {
                    dispatched.push_back(request.id.serial);
                },
                [this](policy::request_id id) { aborted.push_back(id.serial); },
                [this](policy::sub_reply reply) {
                    replies.push_back(std::move(reply));
                },
                [this](time_point) {
                    return may_start;
                }});
        owner->on_health({}, now);
    }

    void submit(std::uint64_t serial, policy::class_index rank,
                runtime::duration time_left = 200ms, bool is_hedge = false)
    {
        policy::sub_request request;
        request.id = {1, serial};
        request.rank = rank;
        request.deadline = now + time_left;
        request.is_hedge = is_hedge;
        owner->submit(request, now);
    }

    void finish(std::uint64_t serial, runtime::duration service = 5ms)
    {
        now += service;
        policy::upstream_report report;
        report.outcome = policy::upstream_outcome::answered;
        owner->finish({1, serial}, report, now);
    }

    time_point now{1s};
    bool may_start = true;
    std::vector<std::uint64_t> dispatched;
    std::vector<std::uint64_t> aborted;
    std::vector<policy::sub_reply> replies;
    std::unique_ptr<policy::upstream_owner> owner;
};

void starts_urgent_requests_first()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.submit(2, 0);
    fixture.submit(3, 2);
    fixture.submit(4, 1);
    fixture.submit(5, 0);
    fixture.finish(1);
    cr_assert(fixture.dispatched == std::vector<std::uint64_t>({1, 2, 5}));
}

void reserves_a_slot_for_urgent_requests()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.finish(1);
    fixture.submit(2, 2, 4s);
    fixture.submit(3, 2, 4s);
    cr_assert_eq(fixture.dispatched.back(), 2U, "one slot stays free");
    fixture.submit(4, 0);
    cr_assert_eq(fixture.dispatched.back(), 4U);
}

void serves_the_guaranteed_share_under_urgent_load()
{
    owner_fixture fixture;
    std::uint64_t serial = 1;
    fixture.submit(serial++, 0);
    fixture.submit(serial++, 0);
    const auto first_low = serial;
    for (int count = 0; count < 400; ++count) {
        fixture.submit(serial++, 1, 1s);
    }
    // For one second, at least one urgent request is queued at any time.
    std::size_t done = 0;
    const auto end = fixture.now + 1s;
    while (fixture.now < end) {
        fixture.submit(serial++, 0);
        fixture.finish(fixture.dispatched[done++], 2500us);
    }
    const auto low = std::ranges::count_if(fixture.dispatched, [&](auto id) {
        return id >= first_low && id < first_low + 400;
    });
    // 20% of two slots is 0.4 s, or 80 requests of 5 ms, less the time that a
    // class waits before it may claim its share.
    cr_assert_geq(low, 60, "got %td", low);
}

void refuses_an_expired_request_at_wakeup()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.submit(2, 0);
    fixture.submit(3, 0, 50ms);
    const auto wakeup = fixture.owner->next_wakeup();
    cr_assert(wakeup.has_value());
    fixture.now = *wakeup;
    fixture.owner->advance(fixture.now);
    cr_assert_eq(fixture.replies.size(), 1U);
    cr_assert(fixture.replies.front().reason == policy::refusal::no_time);
    cr_assert(fixture.owner->next_wakeup() != wakeup);
}

void refuses_a_hedge_that_would_wait()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.submit(2, 0);
    fixture.submit(3, 0, 200ms, true);
    cr_assert(fixture.replies.front().reason == policy::refusal::busy);
}

/// Guards against urgent hedges being refused as busy because less urgent
/// requests are queued, as in a flood of billing while a replica is slow. Such
/// a hedge must get the slot that is reserved for its class.
void starts_an_urgent_hedge_during_a_billing_flood()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.finish(1);
    for (std::uint64_t serial = 2; serial < 10; ++serial) {
        fixture.submit(serial, 2, 4s);
    }
    cr_assert_eq(fixture.dispatched.back(), 2U);
    fixture.submit(10, 0, 200ms, true);
    cr_assert_eq(fixture.dispatched.back(), 10U);
    fixture.submit(11, 0, 200ms, true);
    cr_assert(fixture.replies.back().reason == policy::refusal::busy);
}

/// Guards against a limit that is caused by one slow replica. On a node that
/// serves few queries of a class, a single congested query is no overload.
void ignores_an_isolated_congested_query()
{
    policy::admission_control admission;
    time_point now{1s};
    const auto serve = [&](int congested) {
        for (int query = 0; query < 2; ++query) {
            cr_assert(admission.try_admit(now));
            if (query < congested) {
                admission.on_congestion(now);
            }
            admission.on_finished(true, now);
        }
        now += 100ms;
    };
    serve(0);
    serve(1);
    serve(0);
    cr_assert(!admission.limit().has_value());
    serve(2);
    // The limit takes effect with the next query, which closes the interval.
    cr_assert(!admission.try_admit(now));
    cr_assert(admission.limit().has_value());
}

void refuses_queued_and_new_requests_while_draining()
{
    owner_fixture fixture;
    fixture.submit(1, 0);
    fixture.submit(2, 0);
    fixture.submit(3, 0);
    fixture.owner->set_listed_leaving(true, fixture.now);
    fixture.submit(4, 0);
    cr_assert_eq(fixture.replies.size(), 2U);
    for (const auto& reply : fixture.replies) {
        cr_assert(reply.reason == policy::refusal::draining);
    }
    fixture.finish(1);
    cr_assert_eq(fixture.dispatched.size(), 2U);
}

void refuses_requests_after_a_pause()
{
    owner_fixture fixture;
    fixture.may_start = false;
    fixture.submit(1, 0);
    cr_assert(fixture.dispatched.empty());
    cr_assert(fixture.replies.front().reason == policy::refusal::node_resumed);
}

void does_not_abort_a_running_order()
{
    owner_fixture fixture;
    policy::sub_request request;
    request.id = {1, 1};
    request.deadline = fixture.now + 50ms;
    request.is_idempotent = false;
    fixture.owner->submit(request, fixture.now);
    fixture.owner->cancel(request.id, fixture.now);
    fixture.now += 1s;
    fixture.owner->advance(fixture.now);
    cr_assert(fixture.aborted.empty());
    cr_assert(fixture.replies.empty());
    fixture.finish(1);
    cr_assert(fixture.replies.front().outcome == policy::sub_outcome::answered);
}

void range_set_matches_bit_set()
{
    constexpr std::size_t keys = 64;
    const auto property = [] {
        const auto any_ranges =
            rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, 64), rc::gen::inRange(0, 64)));
        const auto build = [](const auto& pairs) {
            std::pair<policy::key_range_set, std::bitset<keys>> sets;
            for (const auto& [begin, end] : pairs) {
                sets.first.add({static_cast<policy::key>(begin),
                                static_cast<policy::key>(end)});
                for (int key = begin; key < end; ++key) {
                    sets.second.set(static_cast<std::size_t>(key));
                }
            }
            return sets;
        };
        const auto [left, left_bits] = build(*any_ranges);
        const auto [right, right_bits] = build(*any_ranges);
        const auto difference = left.difference(right);
        const auto common = left.intersection({8, 40});
        for (std::size_t key = 0; key < keys; ++key) {
            RC_ASSERT(left.contains(key) == left_bits[key]);
            RC_ASSERT(difference.contains(key) ==
                      (left_bits[key] && !right_bits[key]));
            RC_ASSERT(common.contains(key) ==
                      (left_bits[key] && key >= 8 && key < 40));
        }
        RC_ASSERT(left.size() == left_bits.count());
    };
    cr_assert(rc::check("range sets agree with bit sets", property));
}

void budget_bounds_extra_attempts()
{
    policy::attempt_budget budget(0.05, 64);
    std::uint32_t extra = 0;
    for (int first = 0; first < 10'000; ++first) {
        budget.deposit();
        extra += budget.try_withdraw() ? 1 : 0;
    }
    cr_assert_leq(extra, 500U);
    cr_assert_geq(extra, 490U);
}

void ticket_runs_once_and_refusal_is_final()
{
    policy::order_ledger ledger(policy::node_id::from_name("n"), 7, 1);
    const time_point now{1s};
    const auto ticket = *ledger.issue("billing", now);
    std::vector<policy::order_status> statuses;
    const auto waiter = [&](const policy::order_outcome& outcome) {
        statuses.push_back(outcome.status);
    };
    using enum policy::order_ledger::claim_result;
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == run);
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == attached);
    ledger.settle(ticket, {policy::order_status::not_run, {}, {}});
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == answered);
    ledger.settle(ticket, {policy::order_status::ran, {}, {}});
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == answered);
    cr_assert_eq(statuses.size(), 4U);
    for (const auto status : statuses) {
        cr_assert(status == policy::order_status::not_run);
    }
    const auto text = ticket.to_text();
    cr_assert(policy::order_ticket::parse(text) == ticket);
    cr_assert(!policy::order_ticket::parse(text + "0"));
}

void reports_an_expired_ticket_as_unknown()
{
    policy::order_ledger ledger(policy::node_id::from_name("n"), 7, 1);
    const time_point now{1s};
    const auto ticket = *ledger.issue("billing", now);
    auto status = policy::order_status::ran;
    const auto claimed = ledger.claim(
        ticket, "billing", now + policy::order_ledger::lifetime,
        [&](const policy::order_outcome& outcome) { status = outcome.status; });
    cr_assert(claimed == policy::order_ledger::claim_result::answered);
    cr_assert(status == policy::order_status::unknown);
    cr_assert_eq(ledger.size(), 0U);
}

policy::deployment_pointer make_deployment_with_200_upstreams()
{
    policy::deployment::builder builder;
    for (int number = 0; number < 200; ++number) {
        policy::upstream upstream;
        upstream.name = "u" + std::to_string(number);
        upstream.service = "s" + std::to_string(number / 2);
        upstream.failure_domain = "d" + std::to_string(number % 4);
        upstream.slots = 2;
        upstream.connections = 25;
        builder.add(upstream);
    }
    return builder.build();
}

void moves_only_the_upstreams_of_a_leaving_node()
{
    const auto deployment = make_deployment_with_200_upstreams();
    std::vector<policy::node_view> nodes;
    for (int number = 0; number < 12; ++number) {
        nodes.push_back(
            {policy::node_id::from_name("n" + std::to_string(number)),
             "d" + std::to_string(number % 4), false});
    }
    const policy::ownership before(*deployment, nodes);
    const auto leaving = nodes[5];
    nodes[5].is_leaving = true;
    const policy::ownership after(*deployment, nodes);
    for (const auto& upstream : deployment->upstreams()) {
        const auto old_owner = *before.owner_of(upstream.id);
        const auto new_owner = *after.owner_of(upstream.id);
        cr_assert(old_owner == leaving.id ? new_owner != leaving.id
                                          : new_owner == old_owner);
        const auto owner =
            std::ranges::find(nodes, new_owner, &policy::node_view::id);
        cr_assert(owner->failure_domain == upstream.failure_domain);
    }
}

void simultaneous_owners_stay_within_the_connection_limit()
{
    for (std::uint32_t slots = 1; slots <= 8; ++slots) {
        for (std::uint32_t limit = 6; limit <= 200; ++limit) {
            policy::upstream upstream;
            upstream.slots = slots;
            upstream.connections = limit;
            cr_assert_leq(policy::owner_connections(upstream) *
                              policy::max_simultaneous_owners,
                          limit);
        }
    }
}

void blocks_work_after_a_pause_until_a_peer_answers()
{
    policy::pause_guard guard(time_point(1s));
    cr_assert(!guard.observe(time_point(1500ms)));
    cr_assert(guard.can_start_work(time_point(1500ms)));
    cr_assert(guard.observe(time_point(10s)));
    cr_assert(!guard.can_start_work(time_point(10s)));
    // An answer to a ping that was sent before the pause is ignored.
    guard.on_peer_heard(time_point(1400ms));
    cr_assert(!guard.can_start_work(time_point(11500ms)));
    guard.on_peer_heard(time_point(10100ms));
    cr_assert(!guard.can_start_work(time_point(11s)));
    cr_assert(guard.can_start_work(time_point(11500ms)));
}

} // namespace

Test(upstream_owner, urgent_first)
{
    starts_urgent_requests_first();
}
Test(upstream_owner, reserved_slot)
{
    reserves_a_slot_for_urgent_requests();
}
Test(upstream_owner, guaranteed_share)
{
    serves_the_guaranteed_share_under_urgent_load();
}
Test(upstream_owner, expiry_at_wakeup)
{
    refuses_an_expired_request_at_wakeup();
}
Test(upstream_owner, hedge)
{
    refuses_a_hedge_that_would_wait();
}
Test(upstream_owner, urgent_hedge_in_a_flood)
{
    starts_an_urgent_hedge_during_a_billing_flood();
}
Test(admission_control, isolated_congestion)
{
    ignores_an_isolated_congested_query();
}
Test(upstream_owner, drain)
{
    refuses_queued_and_new_requests_while_draining();
}
Test(upstream_owner, refusal_after_pause)
{
    refuses_requests_after_a_pause();
}
Test(upstream_owner, running_order)
{
    does_not_abort_a_running_order();
}
Test(key_range_set, matches_bit_set)
{
    range_set_matches_bit_set();
}
Test(attempt_budget, bound)
{
    budget_bounds_extra_attempts();
}
Test(order_ledger, runs_once)
{
    ticket_runs_once_and_refusal_is_final();
}
Test(order_ledger, expired_ticket)
{
    reports_an_expired_ticket_as_unknown();
}
Test(ownership, movement)
{
    moves_only_the_upstreams_of_a_leaving_node();
}
Test(ownership, connections)
{
    simultaneous_owners_stay_within_the_connection_limit();
}
Test(pause_guard, quarantine)
{
    blocks_work_after_a_pause_until_a_peer_answers();
}
