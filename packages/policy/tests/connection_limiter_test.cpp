#include <tamarackhoist/policy/connection_limiter.hpp>
#include <tamarackhoist/policy/forward_memory.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using policy::connection_limiter;
using policy::connection_phase;

namespace
{

constexpr std::size_t uncounted = connection_limiter::uncounted_bytes;

connection_limiter make_limiter()
{
    return connection_limiter({.max_connections = 3,
                               .max_request_bytes = 1000,
                               .max_answer_bytes = 1000});
}

connection_limiter::connection_id add(connection_limiter& limiter,
                                      connection_phase phase,
                                      std::size_t counted_bytes = 0)
{
    const auto connection = limiter.add();
    limiter.set_phase(connection, phase);
    if (counted_bytes > 0) {
        limiter.set_held_bytes(connection, uncounted + counted_bytes);
    }
    return connection;
}

void small_requests_take_no_room()
{
    auto limiter = make_limiter();
    for (int number = 0; number < 1000; ++number) {
        const auto connection = add(limiter, connection_phase::receiving);
        limiter.set_held_bytes(connection, uncounted);
    }
    cr_assert_eq(limiter.counted_bytes(), 0U);
    cr_assert(!limiter.choose_to_release());
}

void the_slowest_request_makes_room()
{
    auto limiter = make_limiter();
    add(limiter, connection_phase::idle);
    const auto slowest = add(limiter, connection_phase::receiving, 400);
    const auto second = add(limiter, connection_phase::receiving, 400);
    const auto newest = add(limiter, connection_phase::receiving, 200);
    cr_assert(!limiter.choose_to_release());
    // Sending more does not make a slow caller a new one.
    limiter.set_held_bytes(slowest, uncounted + 401);
    cr_assert_eq(limiter.choose_to_release().value(), slowest);
    limiter.set_phase(slowest, connection_phase::closing);
    limiter.set_held_bytes(slowest, 0);
    cr_assert(!limiter.choose_to_release());
    limiter.set_held_bytes(newest, uncounted + 601);
    cr_assert_eq(limiter.choose_to_release().value(), second);
}

void requests_in_service_are_not_given_up()
{
    auto limiter = make_limiter();
    const auto first = add(limiter, connection_phase::serving, 600);
    const auto second = add(limiter, connection_phase::serving, 600);
    cr_assert(!limiter.choose_to_release());
    cr_assert(!limiter.has_room_for_bytes(second));
    limiter.remove(first);
    cr_assert(limiter.has_room_for_bytes(second));
    const auto small = add(limiter, connection_phase::serving);
    cr_assert(limiter.has_room_for_bytes(small));
}

void a_request_that_is_alone_has_room()
{
    auto limiter = make_limiter();
    const auto alone = add(limiter, connection_phase::receiving, 5000);
    add(limiter, connection_phase::receiving);
    cr_assert(!limiter.choose_to_release());
    limiter.set_phase(alone, connection_phase::serving);
    cr_assert(limiter.has_room_for_bytes(alone));
}

void answers_and_requests_do_not_compete()
{
    auto limiter = make_limiter();
    const auto unread = add(limiter, connection_phase::sending, 900);
    add(limiter, connection_phase::receiving, 900);
    cr_assert(!limiter.choose_to_release());
    add(limiter, connection_phase::sending, 900);
    cr_assert_eq(limiter.choose_to_release().value(), unread);
}

void connections_that_have_not_proved_useful_are_closed_first()
{
    auto limiter = make_limiter();
    const auto idle = add(limiter, connection_phase::idle);
    const auto partial = add(limiter, connection_phase::receiving);
    const auto unused = limiter.add();
    cr_assert(!limiter.has_room_for_connection());
    const auto closing = add(limiter, connection_phase::closing);
    for (const auto expected : {closing, partial, unused, idle}) {
        cr_assert_eq(limiter.choose_to_disconnect().value(), expected);
        limiter.remove(expected);
    }
    cr_assert(limiter.has_room_for_connection());
    add(limiter, connection_phase::serving);
    cr_assert(!limiter.choose_to_disconnect());
}

void the_longest_idle_connection_is_closed_first()
{
    auto limiter = make_limiter();
    const auto first = add(limiter, connection_phase::idle);
    const auto second = add(limiter, connection_phase::idle);
    limiter.set_phase(first, connection_phase::serving);
    limiter.set_phase(first, connection_phase::idle);
    cr_assert_eq(limiter.choose_to_disconnect().value(), second);
}

void fan_outs_are_estimated_by_their_shards()
{
    policy::route route;
    cr_assert_eq(policy::estimate_forward_memory(route, 5000), 0U);
    route.shards = {"a", "b", "c"};
    const auto without_body = policy::estimate_forward_memory(route, 0);
    cr_assert_eq(without_body, 3 * policy::bytes_per_shard);
    cr_assert_geq(policy::estimate_forward_memory(route, 5000),
                  without_body + 5000);
}

} // namespace

Test(connection_limiter, small_requests)
{
    small_requests_take_no_room();
}

Test(connection_limiter, slowest_request)
{
    the_slowest_request_makes_room();
}

Test(connection_limiter, in_service)
{
    requests_in_service_are_not_given_up();
}

Test(connection_limiter, alone)
{
    a_request_that_is_alone_has_room();
}

Test(connection_limiter, answers)
{
    answers_and_requests_do_not_compete();
}

Test(connection_limiter, unproved_connections)
{
    connections_that_have_not_proved_useful_are_closed_first();
}

Test(connection_limiter, longest_idle)
{
    the_longest_idle_connection_is_closed_first();
}

Test(forward_memory, fan_outs)
{
    fan_outs_are_estimated_by_their_shards();
}
