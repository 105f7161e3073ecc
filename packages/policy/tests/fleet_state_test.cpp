#include <map>
#include <tamarackhoist/policy/news_role.hpp>
#include <tamarackhoist/policy/relay_directory.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using policy::node_id;
using runtime::time_point;

namespace
{

constexpr time_point start_of_test{1000s};

void the_first_of_a_domain_follows_the_service()
{
    const policy::news_role role({}, start_of_test);
    cr_assert(!role.follows_service(0, true, start_of_test),
              "a started node first looks for its peers");
    cr_assert(role.follows_service(0, true, start_of_test + 500ms));
    cr_assert(!role.follows_service(1, true, start_of_test + 500ms));
}

/// Pattern: the node that follows the service is frozen or cut off. The
/// others notice by the age of the news, one after the other, well before a
/// drain is due.
void overdue_news_are_fetched_in_order_of_rank()
{
    policy::news_role role({}, start_of_test);
    role.heard_from_peer(start_of_test + 10s);
    const auto at = [](runtime::duration since) {
        return start_of_test + 10s + since;
    };
    cr_assert(!role.follows_service(1, true, at(900ms)));
    cr_assert(role.follows_service(1, true, at(1100ms)));
    cr_assert(!role.follows_service(2, true, at(1100ms)));
    cr_assert(role.follows_service(50, true, at(1600ms)));
}

/// Pattern: every process of the fleet is killed and started. The callers
/// wait, so a node that knows nothing asks soon, still in order of rank.
void a_started_node_that_knows_nothing_asks_soon()
{
    const policy::news_role role({}, start_of_test);
    cr_assert(role.follows_service(0, false, start_of_test + 150ms));
    cr_assert(!role.follows_service(2, false, start_of_test + 150ms));
    cr_assert(role.follows_service(2, false, start_of_test + 350ms));
    cr_assert(role.follows_service(60, false, start_of_test + 550ms));
}

void news_from_a_peer_end_the_own_calls()
{
    policy::news_role role({}, start_of_test);
    cr_assert(role.follows_service(3, true, start_of_test + 5s));
    role.heard_from_peer(start_of_test + 5s);
    cr_assert(!role.follows_service(3, true, start_of_test + 5s));
    cr_assert(role.follows_service(0, true, start_of_test + 5s));
}

policy::relay_node make_node(const char* name, const char* domain,
                             std::uint32_t capacity)
{
    return {node_id::from_name(name), domain, capacity};
}

void far_upstreams_are_reached_through_a_node_near_them()
{
    policy::relay_directory directory("a", 250, 1);
    directory.set_nodes(
        std::vector{make_node("a2", "a", 250), make_node("b1", "b", 250)});
    cr_assert(directory.choose("b", 20, start_of_test) ==
              node_id::from_name("b1"));
    cr_assert(!directory.choose("a", 20, start_of_test),
              "an equal node in the own domain is not worth a message");
    cr_assert(!directory.choose("c", 20, start_of_test));
}

/// Pattern: nodes of unequal size. A small node takes no more than it can
/// serve, and passes its own fan-outs on.
void small_nodes_pass_work_on_to_large_ones()
{
    policy::relay_directory directory("a", 120, 1);
    directory.set_nodes(std::vector{make_node("large", "a", 500),
                                    make_node("small", "a", 120)});
    for (int call = 0; call < 10; ++call) {
        const auto chosen = directory.choose("a", 15, start_of_test);
        cr_assert(chosen == node_id::from_name("large"));
        directory.call_started(*chosen, 15);
    }
}

void open_work_is_spread_by_capacity()
{
    policy::relay_directory directory("a", 100, 1);
    directory.set_nodes(std::vector{make_node("b1", "b", 500),
                                    make_node("b2", "b", 500),
                                    make_node("b3", "b", 100)});
    std::map<node_id, int> calls;
    for (int call = 0; call < 110; ++call) {
        const auto chosen = directory.choose("b", 10, start_of_test);
        ++calls[*chosen];
        directory.call_started(*chosen, 10);
    }
    cr_assert(calls[node_id::from_name("b1")] >= 40);
    cr_assert(calls[node_id::from_name("b2")] >= 40);
    cr_assert(calls[node_id::from_name("b3")] <= 20);
    cr_assert(calls[node_id::from_name("b3")] >= 5);
}

/// Pattern: a relay is killed or frozen in the middle of a query.
void a_silent_relay_is_avoided_until_it_answers()
{
    policy::relay_directory directory("a", 100, 1);
    directory.set_nodes(std::vector{make_node("b1", "b", 100)});
    directory.record_failure(node_id::from_name("b1"), start_of_test);
    cr_assert(!directory.choose("b", 10, start_of_test + 100ms));
    cr_assert(directory.choose("b", 10, start_of_test + 300ms).has_value());
    directory.record_failure(node_id::from_name("b1"), start_of_test + 300ms);
    cr_assert(!directory.choose("b", 10, start_of_test + 600ms));
    directory.record_answer(node_id::from_name("b1"), start_of_test + 600ms);
    cr_assert(directory.choose("b", 10, start_of_test + 600ms).has_value());
}

void a_departed_node_is_not_chosen()
{
    policy::relay_directory directory("a", 100, 1);
    directory.set_nodes(std::vector{make_node("b1", "b", 100)});
    directory.set_nodes({});
    cr_assert(!directory.choose("b", 10, start_of_test));
    directory.call_ended(node_id::from_name("b1"), 10);
}

} // namespace

Test(news_role, first)
{
    the_first_of_a_domain_follows_the_service();
}
Test(news_role, frozen_follower)
{
    overdue_news_are_fetched_in_order_of_rank();
}
Test(news_role, whole_fleet_restart)
{
    a_started_node_that_knows_nothing_asks_soon();
}
Test(news_role, peers)
{
    news_from_a_peer_end_the_own_calls();
}
Test(relay_directory, far)
{
    far_upstreams_are_reached_through_a_node_near_them();
}
Test(relay_directory, unequal_nodes)
{
    small_nodes_pass_work_on_to_large_ones();
}
Test(relay_directory, spread)
{
    open_work_is_spread_by_capacity();
}
Test(relay_directory, silent)
{
    a_silent_relay_is_avoided_until_it_answers();
}
Test(relay_directory, departed)
{
    a_departed_node_is_not_chosen();
}
