#include <string>
#include <tamarackhoist/policy/domain_reach.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using runtime::time_point;

namespace
{

/// A node in domain "a" that knows "b", "c" and "d", and a fan-out over four
/// shards, each with one upstream in each of two domains.
class reach_fixture
{
public:
    reach_fixture()
        : directory({[](const policy::upstream_handle&) {},
                     [](const policy::tracked_upstream&) {},
                     [](const policy::tracked_upstream&) {
                     }})
    {
        add("s0", "a", "b");
        add("s1", "b", "c");
        add("s2", "c", "d");
        add("s3", "d", "a");
        route.shards = {"s0", "s1", "s2", "s3"};
        route.min_coverage = 0.75;
        hear_all();
    }

    void add(const std::string& service, const std::string& first,
             const std::string& second)
    {
        for (const auto& domain : {first, second}) {
            policy::registered_upstream entry;
            entry.id = service + domain;
            entry.service = service;
            entry.failure_domain = domain;
            directory.put(entry, now);
        }
    }

    void hear_all()
    {
        for (const auto* domain : {"a", "b", "c", "d"}) {
            reach.record_heard(domain);
        }
    }

    /// Lets requests miss `domains` for some time, 20 a second.
    void miss(const std::vector<std::string>& domains, runtime::duration time)
    {
        const auto end = now + time;
        for (; now < end; now += 50ms) {
            for (const auto& domain : domains) {
                reach.record_missed(domain, now);
            }
        }
    }

    [[nodiscard]] bool can_cover() const
    {
        return reach.can_cover(route, directory, now);
    }

    time_point now{1000s};
    policy::upstream_directory directory;
    policy::route route;
    policy::domain_reach reach{"a"};
};

/// Pattern: a failure domain is cut off while its callers still reach it.
void a_cut_off_node_refuses_and_steps_back()
{
    reach_fixture node;
    cr_assert(node.can_cover());
    node.miss({"b", "c", "d"}, 600ms);
    cr_assert(!node.can_cover(), "two of four shards are within reach");
    cr_assert(node.reach.is_in_minority(node.now));
    cr_assert(node.reach.is_reachable("a", node.now));
    // The cut heals, and the first message tells.
    node.hear_all();
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// Pattern: another failure domain is cut off. Its shards have replicas
/// elsewhere, and this node goes on taking callers whatever is covered.
void the_rest_goes_on_without_a_cut_off_domain()
{
    reach_fixture node;
    node.miss({"c"}, 600ms);
    cr_assert(!node.reach.is_reachable("c", node.now));
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
    node.directory.remove("s1b", 1, node.now);
    node.directory.remove("s2d", 1, node.now);
    cr_assert(!node.can_cover(), "two shards are only in the lost domain");
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// Pattern: halves of a split fleet. Neither steps back.
void no_half_of_a_split_is_a_minority()
{
    reach_fixture node;
    node.miss({"c", "d"}, 600ms);
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// Pattern: the process stood still, and its timers report many misses at
/// once when it wakes.
void misses_at_one_instant_prove_nothing()
{
    reach_fixture node;
    node.now += 10s;
    for (int miss = 0; miss < 20; ++miss) {
        for (const auto* domain : {"b", "c", "d"}) {
            node.reach.record_missed(domain, node.now);
        }
    }
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// Pattern: one relay of a domain is killed; the others answer.
void a_domain_that_answers_now_and_then_is_reached()
{
    reach_fixture node;
    for (int round = 0; round < 20; ++round) {
        node.miss({"b", "c", "d"}, 250ms);
        node.hear_all();
        cr_assert(node.can_cover());
    }
}

/// Nodes of a lost domain may be dead while its upstreams live: one request a
/// second is tried, and without any the domain is tried after eight seconds.
void a_lost_domain_is_tried_again()
{
    reach_fixture node;
    node.miss({"b"}, 600ms);
    cr_assert(!node.reach.is_reachable("b", node.now + 7s));
    cr_assert(node.reach.is_reachable("b", node.now + 8s));
    cr_assert(node.reach.take_trial(node.now));
    cr_assert(!node.reach.take_trial(node.now + 900ms));
    cr_assert(node.reach.take_trial(node.now + 1s));
    // One more miss is enough after a trial that failed.
    node.now += 9s;
    node.reach.record_missed("b", node.now);
    cr_assert(!node.reach.is_reachable("b", node.now));
}

/// Pattern: the whole fleet starts. A domain that was never heard is not one
/// that was lost.
void an_unknown_domain_is_no_lost_domain()
{
    reach_fixture node;
    node.reach = policy::domain_reach("a");
    node.miss({"b", "c", "d"}, 5s);
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

} // namespace

Test(domain_reach, cut_off)
{
    a_cut_off_node_refuses_and_steps_back();
}
Test(domain_reach, other_domain_cut_off)
{
    the_rest_goes_on_without_a_cut_off_domain();
}
Test(domain_reach, split)
{
    no_half_of_a_split_is_a_minority();
}
Test(domain_reach, pause)
{
    misses_at_one_instant_prove_nothing();
}
Test(domain_reach, one_relay)
{
    a_domain_that_answers_now_and_then_is_reached();
}
Test(domain_reach, tried_again)
{
    a_lost_domain_is_tried_again();
}
Test(domain_reach, start)
{
    an_unknown_domain_is_no_lost_domain();
}
