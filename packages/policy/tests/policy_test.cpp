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

/// An owner of one upstream with two slots, and what it decided.
class owner_fixture
{
public:
    owner_fixture()
    {
        policy::upstream described;
        described.name = "u";
        described.slots = 2;
        described.connections = 25;
        owner = std::make_unique<policy::upstream_owner>(
            described, three_classes(),
            policy::upstream_owner::hooks{
                [this](const policy::sub_request& request) {
                    dispatched.push_back(request.id.serial);
                },
                [this](policy::request_id id) { aborted.push_back(id.serial); },
                [this](policy::sub_reply reply) {
                    replies.push_back(std::move(reply));
                },
                [this](time_point) {
                    return is_trusted;
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
    bool is_trusted = true;
    std::vector<std::uint64_t> dispatched;
    std::vector<std::uint64_t> aborted;
    std::vector<policy::sub_reply> replies;
    std::unique_ptr<policy::upstream_owner> owner;
};

void urgent_work_goes_first()
{
    owner_fixture each;
    each.submit(1, 0);
    each.submit(2, 0);
    each.submit(3, 2);
    each.submit(4, 1);
    each.submit(5, 0);
    each.finish(1);
    cr_assert(each.dispatched == std::vector<std::uint64_t>({1, 2, 5}));
}

void other_classes_leave_a_slot_free()
{
    owner_fixture each;
    each.submit(1, 0);
    each.finish(1);
    each.submit(2, 2, 4s);
    each.submit(3, 2, 4s);
    cr_assert_eq(each.dispatched.back(), 2U, "one slot stays free");
    each.submit(4, 0);
    cr_assert_eq(each.dispatched.back(), 4U);
}

void a_starved_class_gets_its_share()
{
    owner_fixture each;
    std::uint64_t serial = 1;
    each.submit(serial++, 0);
    each.submit(serial++, 0);
    const auto first_low = serial;
    for (int count = 0; count < 400; ++count) {
        each.submit(serial++, 1, 1s);
    }
    // Urgent work always waits, for one second.
    std::size_t done = 0;
    const auto end = each.now + 1s;
    while (each.now < end) {
        each.submit(serial++, 0);
        each.finish(each.dispatched[done++], 2500us);
    }
    const auto low = std::ranges::count_if(each.dispatched, [&](auto id) {
        return id >= first_low && id < first_low + 400;
    });
    // 20% of two slots is 0.4 s of 5 ms requests, less the time that a class
    // waits before it may claim its share.
    cr_assert_geq(low, 60, "got %td", low);
}

void a_wakeup_makes_progress()
{
    owner_fixture each;
    each.submit(1, 0);
    each.submit(2, 0);
    each.submit(3, 0, 50ms);
    const auto wakeup = each.owner->next_wakeup();
    cr_assert(wakeup.has_value());
    each.now = *wakeup;
    each.owner->advance(each.now);
    cr_assert_eq(each.replies.size(), 1U);
    cr_assert(each.replies.front().reason == policy::refusal::no_time);
    cr_assert(each.owner->next_wakeup() != wakeup);
}

void a_hedge_never_waits()
{
    owner_fixture each;
    each.submit(1, 0);
    each.submit(2, 0);
    each.submit(3, 0, 200ms, true);
    cr_assert(each.replies.front().reason == policy::refusal::busy);
}

/// Pattern: billing floods in while a replica is slow. The slot that is held
/// free for urgent work takes the hedges of urgent queries, whatever waits.
void an_urgent_hedge_passes_a_flood_of_billing()
{
    owner_fixture each;
    each.submit(1, 0);
    each.finish(1);
    for (std::uint64_t serial = 2; serial < 10; ++serial) {
        each.submit(serial, 2, 4s);
    }
    cr_assert_eq(each.dispatched.back(), 2U);
    each.submit(10, 0, 200ms, true);
    cr_assert_eq(each.dispatched.back(), 10U);
    each.submit(11, 0, 200ms, true);
    cr_assert(each.replies.back().reason == policy::refusal::busy);
}

/// Pattern: one slow replica. A node that serves few queries of a class does
/// not take one congested query for an overload.
void a_stray_congested_query_limits_nothing()
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
    // The next query finds the limit of the interval before it.
    cr_assert(!admission.try_admit(now));
    cr_assert(admission.limit().has_value());
}

void a_drain_refuses_what_waits_and_what_comes()
{
    owner_fixture each;
    each.submit(1, 0);
    each.submit(2, 0);
    each.submit(3, 0);
    each.owner->set_listed_leaving(true, each.now);
    each.submit(4, 0);
    cr_assert_eq(each.replies.size(), 2U);
    for (const auto& reply : each.replies) {
        cr_assert(reply.reason == policy::refusal::draining);
    }
    each.finish(1);
    cr_assert_eq(each.dispatched.size(), 2U);
}

void nothing_starts_while_the_process_doubts_itself()
{
    owner_fixture each;
    each.is_trusted = false;
    each.submit(1, 0);
    cr_assert(each.dispatched.empty());
    cr_assert(each.replies.front().reason == policy::refusal::node_resumed);
}

void a_running_order_is_never_aborted()
{
    owner_fixture each;
    policy::sub_request request;
    request.id = {1, 1};
    request.deadline = each.now + 50ms;
    request.is_idempotent = false;
    each.owner->submit(request, each.now);
    each.owner->cancel(request.id, each.now);
    each.now += 1s;
    each.owner->advance(each.now);
    cr_assert(each.aborted.empty());
    cr_assert(each.replies.empty());
    each.finish(1);
    cr_assert(each.replies.front().outcome == policy::sub_outcome::answered);
}

void range_sets_agree_with_bit_sets()
{
    constexpr std::size_t keys = 64;
    const auto property = [] {
        const auto any_ranges =
            rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
                rc::gen::inRange(0, 64), rc::gen::inRange(0, 64)));
        const auto build = [](const auto& pairs) {
            std::pair<policy::key_range_set, std::bitset<keys>> both;
            for (const auto& [begin, end] : pairs) {
                both.first.add({static_cast<policy::key>(begin),
                                static_cast<policy::key>(end)});
                for (int key = begin; key < end; ++key) {
                    both.second.set(static_cast<std::size_t>(key));
                }
            }
            return both;
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

void a_budget_bounds_extra_attempts()
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

void a_ticket_runs_once_and_a_refusal_is_final()
{
    policy::order_ledger ledger(policy::node_id::of("n"), 7, 1);
    const time_point now{1s};
    const auto ticket = *ledger.issue("billing", now);
    std::vector<policy::order_status> told;
    const auto waiter = [&](const policy::order_outcome& outcome) {
        told.push_back(outcome.status);
    };
    using enum policy::order_ledger::claim_result;
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == run);
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == attached);
    ledger.settle(ticket, {policy::order_status::not_run, {}, {}});
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == answered);
    ledger.settle(ticket, {policy::order_status::ran, {}, {}});
    cr_assert(ledger.claim(ticket, "billing", now, waiter) == answered);
    cr_assert_eq(told.size(), 4U);
    for (const auto status : told) {
        cr_assert(status == policy::order_status::not_run);
    }
    const auto text = ticket.to_text();
    cr_assert(policy::order_ticket::parse(text) == ticket);
    cr_assert(!policy::order_ticket::parse(text + "0"));
}

void a_forgotten_ticket_is_unknown()
{
    policy::order_ledger ledger(policy::node_id::of("n"), 7, 1);
    const time_point now{1s};
    const auto ticket = *ledger.issue("billing", now);
    auto told = policy::order_status::ran;
    const auto claimed = ledger.claim(
        ticket, "billing", now + policy::order_ledger::lifetime,
        [&](const policy::order_outcome& outcome) { told = outcome.status; });
    cr_assert(claimed == policy::order_ledger::claim_result::answered);
    cr_assert(told == policy::order_status::unknown);
    cr_assert_eq(ledger.size(), 0U);
}

policy::deployment_pointer many_upstreams()
{
    policy::deployment::builder builder;
    for (int number = 0; number < 200; ++number) {
        policy::upstream each;
        each.name = "u" + std::to_string(number);
        each.service = "s" + std::to_string(number / 2);
        each.failure_domain = "d" + std::to_string(number % 4);
        each.slots = 2;
        each.connections = 25;
        builder.add(each);
    }
    return builder.build();
}

void only_the_upstreams_of_a_lost_node_move()
{
    const auto described = many_upstreams();
    std::vector<policy::node_view> nodes;
    for (int number = 0; number < 12; ++number) {
        nodes.push_back({policy::node_id::of("n" + std::to_string(number)),
                         "d" + std::to_string(number % 4), false});
    }
    const policy::ownership before(*described, nodes);
    const auto lost = nodes[5];
    nodes[5].is_leaving = true;
    const policy::ownership after(*described, nodes);
    for (const auto& each : described->upstreams()) {
        const auto old_owner = *before.owner_of(each.id);
        const auto new_owner = *after.owner_of(each.id);
        cr_assert(old_owner == lost.id ? new_owner != lost.id
                                       : new_owner == old_owner);
        const auto owner =
            std::ranges::find(nodes, new_owner, &policy::node_view::id);
        cr_assert(owner->failure_domain == each.failure_domain);
    }
}

void believing_owners_stay_within_the_connection_limit()
{
    for (std::uint32_t slots = 1; slots <= 8; ++slots) {
        for (std::uint32_t limit = 6; limit <= 200; ++limit) {
            policy::upstream each;
            each.slots = slots;
            each.connections = limit;
            cr_assert_leq(policy::owner_connections(each) *
                              policy::max_simultaneous_owners,
                          limit);
        }
    }
}

void a_pause_is_doubted_until_a_peer_answers()
{
    policy::pause_guard guard(time_point(1s));
    cr_assert(!guard.observe(time_point(1500ms)));
    cr_assert(guard.is_trusted(time_point(1500ms)));
    cr_assert(guard.observe(time_point(10s)));
    cr_assert(!guard.is_trusted(time_point(10s)));
    // An answer to a ping from before the pause proves nothing.
    guard.on_peer_heard(time_point(1400ms));
    cr_assert(!guard.is_trusted(time_point(11500ms)));
    guard.on_peer_heard(time_point(10100ms));
    cr_assert(!guard.is_trusted(time_point(11s)));
    cr_assert(guard.is_trusted(time_point(11500ms)));
}

} // namespace

Test(upstream_owner, urgent_first)
{
    urgent_work_goes_first();
}
Test(upstream_owner, slot_left)
{
    other_classes_leave_a_slot_free();
}
Test(upstream_owner, share)
{
    a_starved_class_gets_its_share();
}
Test(upstream_owner, wakeup)
{
    a_wakeup_makes_progress();
}
Test(upstream_owner, hedge)
{
    a_hedge_never_waits();
}
Test(upstream_owner, urgent_hedge_in_a_flood)
{
    an_urgent_hedge_passes_a_flood_of_billing();
}
Test(admission_control, stray_congestion)
{
    a_stray_congested_query_limits_nothing();
}
Test(upstream_owner, drain)
{
    a_drain_refuses_what_waits_and_what_comes();
}
Test(upstream_owner, doubt)
{
    nothing_starts_while_the_process_doubts_itself();
}
Test(upstream_owner, order)
{
    a_running_order_is_never_aborted();
}
Test(key_range_set, oracle)
{
    range_sets_agree_with_bit_sets();
}
Test(attempt_budget, bound)
{
    a_budget_bounds_extra_attempts();
}
Test(order_ledger, once)
{
    a_ticket_runs_once_and_a_refusal_is_final();
}
Test(order_ledger, forgotten)
{
    a_forgotten_ticket_is_unknown();
}
Test(ownership, movement)
{
    only_the_upstreams_of_a_lost_node_move();
}
Test(ownership, connections)
{
    believing_owners_stay_within_the_connection_limit();
}
Test(pause_guard, doubt)
{
    a_pause_is_doubted_until_a_peer_answers();
}
