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

void rank_zero_of_a_domain_follows_the_service()
{
    const policy::news_role role({}, start_of_test);
    cr_assert(!role.should_follow_service(0, true, start_of_test),
              "a started node first queries its peers");
    cr_assert(role.should_follow_service(0, true, start_of_test + 500ms));
    cr_assert(!role.should_follow_service(1, true, start_of_test + 500ms));
}

/// The node that follows the service is frozen or partitioned off. The others
/// detect it by the age of the news and take over one after the other, well
/// before a drain is due.
void nodes_take_over_in_order_of_rank_when_news_stop()
{
    policy::news_role role({}, start_of_test);
    role.record_peer_news(start_of_test + 10s, start_of_test + 10s);
    const auto after_news = [](runtime::duration elapsed) {
        return start_of_test + 10s + elapsed;
    };
    cr_assert(!role.should_follow_service(1, true, after_news(900ms)));
    cr_assert(role.should_follow_service(1, true, after_news(1100ms)));
    cr_assert(!role.should_follow_service(2, true, after_news(1100ms)));
    cr_assert(role.should_follow_service(50, true, after_news(1600ms)));
}

/// The node that follows the service is cut off from it right after an answer,
/// and goes on telling its peers that nothing has changed. Whatever it tells
/// them, each node reads the service itself with time left to act on a change.
void nodes_take_over_from_a_reader_that_is_cut_off()
{
    for (const auto deadline : {1500ms, 3000ms, 10000ms}) {
        const auto options = policy::news_role::options::for_deadline(deadline);
        policy::news_role role(options, start_of_test);
        const auto confirmed_at = start_of_test + 10s;
        role.record_peer_news(confirmed_at, confirmed_at);
        auto elapsed = 0ms;
        for (; !role.should_follow_service(4, true, confirmed_at + elapsed);
             elapsed += 50ms) {
            role.record_peer_news(confirmed_at, confirmed_at + elapsed);
            cr_assert(elapsed < deadline - deadline / 10, "deadline %lld ms",
                      static_cast<long long>(deadline.count()));
        }
        cr_assert(elapsed > options.watch_timeout,
                  "the next answer is not awaited");
    }
}

/// Every process of the fleet is killed and restarted. Callers are waiting, so
/// nodes without a complete state soon query the service, in order of rank.
void an_incomplete_node_follows_the_service_after_startup_delay()
{
    const policy::news_role role({}, start_of_test);
    cr_assert(role.should_follow_service(0, false, start_of_test + 150ms));
    cr_assert(!role.should_follow_service(2, false, start_of_test + 150ms));
    cr_assert(role.should_follow_service(2, false, start_of_test + 350ms));
    cr_assert(role.should_follow_service(60, false, start_of_test + 550ms));
}

void peer_news_stop_a_node_from_following_the_service()
{
    policy::news_role role({}, start_of_test);
    cr_assert(role.should_follow_service(3, true, start_of_test + 5s));
    role.record_peer_news(start_of_test + 5s, start_of_test + 5s);
    cr_assert(!role.should_follow_service(3, true, start_of_test + 5s));
    cr_assert(role.should_follow_service(0, true, start_of_test + 5s));
}

policy::relay_node make_node(const char* name, const char* domain,
                             std::uint32_t capacity)
{
    return {node_id::from_name(name), domain, capacity};
}

void remote_domains_are_reached_through_a_relay()
{
    policy::relay_directory directory("a", 250, 1);
    directory.set_nodes(
        std::vector{make_node("a2", "a", 250), make_node("b1", "b", 250)});
    cr_assert(directory.choose("b", 20, start_of_test) ==
              node_id::from_name("b1"));
    cr_assert(!directory.choose("a", 20, start_of_test),
              "a node of equal capacity in the own domain is no relay");
    cr_assert(!directory.choose("c", 20, start_of_test));
}

/// Nodes of unequal capacity: a small node relays its fan-outs through a larger
/// one, so that it does no more work than it can serve.
void small_nodes_relay_through_larger_nodes()
{
    policy::relay_directory directory("a", 120, 1);
    directory.set_nodes(std::vector{make_node("large", "a", 500),
                                    make_node("small", "a", 120)});
    for (int call = 0; call < 10; ++call) {
        const auto chosen = directory.choose("a", 15, start_of_test);
        cr_assert(chosen == node_id::from_name("large"));
        directory.record_call_start(*chosen, 15);
    }
}

void open_shards_are_spread_by_capacity()
{
    policy::relay_directory directory("a", 100, 1);
    directory.set_nodes(std::vector{make_node("b1", "b", 500),
                                    make_node("b2", "b", 500),
                                    make_node("b3", "b", 100)});
    std::map<node_id, int> calls;
    for (int call = 0; call < 110; ++call) {
        const auto chosen = directory.choose("b", 10, start_of_test);
        ++calls[*chosen];
        directory.record_call_start(*chosen, 10);
    }
    cr_assert(calls[node_id::from_name("b1")] >= 40);
    cr_assert(calls[node_id::from_name("b2")] >= 40);
    cr_assert(calls[node_id::from_name("b3")] <= 20);
    cr_assert(calls[node_id::from_name("b3")] >= 5);
}

/// A relay is killed or frozen during a query.
void an_unresponsive_relay_is_avoided_until_it_answers()
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

void a_removed_node_is_not_chosen()
{
    policy::relay_directory directory("a", 100, 1);
    directory.set_nodes(std::vector{make_node("b1", "b", 100)});
    directory.set_nodes({});
    cr_assert(!directory.choose("b", 10, start_of_test));
    directory.record_call_end(node_id::from_name("b1"), 10);
}

/// A reader that lists the items anew has nothing to confirm for a while. Its
/// peers wait for it, but not longer than their news may be old.
void a_reader_that_lists_delays_a_takeover_up_to_the_age_limit()
{
    policy::news_role role({}, start_of_test);
    role.record_peer_news(start_of_test, start_of_test);
    cr_assert(role.should_follow_service(1, true, start_of_test + 1100ms));
    role.record_peer_contact(start_of_test + 1000ms);
    cr_assert(!role.should_follow_service(1, true, start_of_test + 1100ms));
    role.record_peer_contact(start_of_test + 2000ms);
    cr_assert(role.should_follow_service(1, true, start_of_test + 2000ms));
}

} // namespace

Test(news_role, listing_reader)
{
    a_reader_that_lists_delays_a_takeover_up_to_the_age_limit();
}
Test(news_role, rank_zero)
{
    rank_zero_of_a_domain_follows_the_service();
}
Test(news_role, cut_off_follower)
{
    nodes_take_over_from_a_reader_that_is_cut_off();
}
Test(news_role, frozen_follower)
{
    nodes_take_over_in_order_of_rank_when_news_stop();
}
Test(news_role, whole_fleet_restart)
{
    an_incomplete_node_follows_the_service_after_startup_delay();
}
Test(news_role, peer_news)
{
    peer_news_stop_a_node_from_following_the_service();
}
Test(relay_directory, remote_domain)
{
    remote_domains_are_reached_through_a_relay();
}
Test(relay_directory, unequal_nodes)
{
    small_nodes_relay_through_larger_nodes();
}
Test(relay_directory, load_balancing)
{
    open_shards_are_spread_by_capacity();
}
Test(relay_directory, unresponsive_relay)
{
    an_unresponsive_relay_is_avoided_until_it_answers();
}
Test(relay_directory, removed_node)
{
    a_removed_node_is_not_chosen();
}
