#include <tamarackhoist/policy/forward_times.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using policy::compute_forward_times;
using runtime::time_point;

namespace
{

constexpr time_point received{1000s};

policy::route make_urgent_route()
{
    policy::route route;
    route.latency_target = 50ms;
    route.timeout = 500ms;
    return route;
}

/// A fan-out waits for its last shard until the answer would reach the caller
/// late. Waiting as if every caller were far away leaves out shards that a near
/// caller could have had.
void near_callers_leave_more_time_for_the_last_shard()
{
    const auto route = make_urgent_route();
    const auto far = compute_forward_times(
        route, {.received = received, .delay = 3ms, .time_left = 500ms});
    const auto near = compute_forward_times(
        route, {.received = received, .delay = 1ms, .time_left = 500ms});
    cr_assert(far.on_time_until == received + 41ms);
    cr_assert(near.on_time_until == received + 45ms);
}

/// The handshake of a new connection is part of the caller's latency.
void a_new_connection_leaves_less_time()
{
    const auto times = compute_forward_times(make_urgent_route(),
                                             {.received = received,
                                              .delay = 3ms,
                                              .is_first_on_connection = true,
                                              .time_left = 500ms});
    cr_assert(times.on_time_until == received + 35ms);
}

void the_shorter_of_both_timeouts_is_the_deadline()
{
    const auto route = make_urgent_route();
    const auto patient =
        compute_forward_times(route, {.received = received, .delay = 3ms});
    cr_assert(patient.deadline == received + 500ms);
    const auto impatient = compute_forward_times(
        route, {.received = received, .delay = 3ms, .time_left = 100ms});
    cr_assert(impatient.deadline == received + 94ms);
    const auto gone = compute_forward_times(
        route, {.received = received, .delay = 3ms, .time_left = 1ms});
    cr_assert(gone.deadline == received);
}

} // namespace

Test(forward_times, near_callers)
{
    near_callers_leave_more_time_for_the_last_shard();
}
Test(forward_times, new_connection)
{
    a_new_connection_leaves_less_time();
}
Test(forward_times, deadline)
{
    the_shorter_of_both_timeouts_is_the_deadline();
}
