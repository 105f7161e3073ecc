#include <algorithm>
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
class domain_reach_fixture
{
public:
    domain_reach_fixture()
        : directory({[](const policy::upstream_handle&) {},
                     [](const policy::tracked_upstream&) {},
                     [](const policy::tracked_upstream&) {
                     }})
    {
        add_shard("s0", "a", "b");
        add_shard("s1", "b", "c");
        add_shard("s2", "c", "d");
        add_shard("s3", "d", "a");
        route.shards = {"s0", "s1", "s2", "s3"};
        route.min_coverage = 0.75;
        record_contact_with_all();
    }

    void add_shard(const std::string& service, const std::string& first,
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

    void record_contact_with_all()
    {
        for (const auto* domain : {"a", "b", "c", "d"}) {
            reach.record_contact(domain);
        }
    }

    /// Records failed contacts with `domains`, 20 a second, for `duration`.
    void record_misses(const std::vector<std::string>& domains,
                       runtime::duration duration)
    {
        const auto end = now + duration;
        for (; now < end; now += 50ms) {
            for (const auto& domain : domains) {
                reach.record_missed_contact(domain, now);
            }
        }
    }

    [[nodiscard]] bool is_reachable(const std::string& domain,
                                    runtime::time_point at) const
    {
        const auto lost = reach.unreachable_domains(at);
        return std::find(lost.begin(), lost.end(), domain) == lost.end();
    }

    /// Pings four times a second for `duration`. Returns the domains that the
    /// last call named.
    std::vector<std::string> ping(runtime::duration duration)
    {
        std::vector<std::string> domains;
        const auto end = now + duration;
        while (now < end) {
            now += 250ms;
            domains = reach.domains_to_ping(now);
        }
        return domains;
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

/// A failure domain is partitioned off while callers still reach its nodes.
void a_partitioned_node_cannot_cover_and_is_in_minority()
{
    domain_reach_fixture node;
    cr_assert(node.can_cover());
    node.record_misses({"b", "c", "d"}, 600ms);
    cr_assert(!node.can_cover(), "only two of four shards are reachable");
    cr_assert(node.reach.is_in_minority(node.now));
    cr_assert(node.is_reachable("a", node.now));
    // The first messages after the partition heals restore reachability.
    node.record_contact_with_all();
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// Another failure domain is partitioned off. Its shards have replicas in other
/// domains, and this node is never in the minority, whatever it can cover.
void other_domains_serve_without_a_lost_domain()
{
    domain_reach_fixture node;
    node.record_misses({"c"}, 600ms);
    cr_assert(!node.is_reachable("c", node.now));
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
    node.directory.remove("s1b", {1, 1}, node.now);
    node.directory.remove("s2d", {1, 1}, node.now);
    cr_assert(!node.can_cover(), "two shards are only in the lost domain");
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// The fleet is split into halves; neither may leave its callers to the other.
void neither_half_of_an_even_split_is_a_minority()
{
    domain_reach_fixture node;
    node.record_misses({"c", "d"}, 600ms);
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// After a pause of the process, its timers report many failures at once.
void simultaneous_misses_do_not_count_as_unreachable()
{
    domain_reach_fixture node;
    node.now += 10s;
    for (int miss = 0; miss < 20; ++miss) {
        for (const auto* domain : {"b", "c", "d"}) {
            node.reach.record_missed_contact(domain, node.now);
        }
    }
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

/// One relay of a domain is killed while the others still answer.
void a_domain_that_answers_intermittently_is_reachable()
{
    domain_reach_fixture node;
    for (int round = 0; round < 20; ++round) {
        node.record_misses({"b", "c", "d"}, 250ms);
        node.record_contact_with_all();
        cr_assert(node.can_cover());
    }
}

/// The nodes of a lost domain may be dead while its upstreams are alive. One
/// probe a second is allowed after the loss began, and without further failures
/// the domain counts as reachable after eight seconds.
void a_lost_domain_is_probed_again()
{
    domain_reach_fixture node;
    node.record_misses({"b"}, 600ms);
    cr_assert(!node.is_reachable("b", node.now + 7s));
    cr_assert(node.is_reachable("b", node.now + 8s));
    const auto first_probe_at = node.now + 400ms;
    cr_assert(!node.reach.try_start_probe(first_probe_at - 1ms));
    cr_assert(node.reach.try_start_probe(first_probe_at));
    cr_assert(!node.reach.try_start_probe(first_probe_at + 900ms));
    cr_assert(node.reach.try_start_probe(first_probe_at + 1s));
    // A single failed probe makes the domain unreachable again.
    node.now += 9s;
    node.reach.record_missed_contact("b", node.now);
    cr_assert(!node.is_reachable("b", node.now));
}

/// A failure domain of 22 nodes is cut off, and its callers send 15 requests a
/// second. If each node sent one probe a second, all requests would be probes
/// that time out.
void many_nodes_share_the_rate_of_probes()
{
    constexpr int nodes = 22;
    std::vector<domain_reach_fixture> fleet(nodes);
    for (auto& node : fleet) {
        node.reach.set_own_domain_nodes(nodes);
        node.record_misses({"b", "c", "d"}, 600ms);
    }
    int probes = 0;
    for (int request = 0; request < 6 * 15; ++request) {
        const auto at = fleet.front().now + request * 66ms;
        auto& node = fleet[static_cast<std::size_t>(request) % nodes];
        probes += node.reach.try_start_probe(at) ? 1 : 0;
    }
    cr_assert_leq(probes, 6);
}

/// A node of a large fleet gets less than one request a second. One failed
/// contact has to be enough to find out soon that the domain is lost.
void a_loss_is_noticed_with_few_requests()
{
    domain_reach_fixture node;
    for (const auto* domain : {"b", "c", "d"}) {
        node.reach.record_missed_contact(domain, node.now);
    }
    cr_assert(node.can_cover());
    cr_assert(node.ping(1s) == (std::vector<std::string>{"b", "c", "d"}));
    cr_assert(!node.can_cover());
    cr_assert(node.reach.is_in_minority(node.now));
}

/// One relay was killed; the other nodes of its domain answer the pings.
void an_answered_ping_ends_the_suspicion()
{
    domain_reach_fixture node;
    node.reach.record_missed_contact("b", node.now);
    cr_assert(node.ping(250ms) == (std::vector<std::string>{"b"}));
    node.reach.record_contact("b");
    cr_assert(node.ping(5s).empty());
    cr_assert(node.is_reachable("b", node.now));
}

/// All nodes of a domain are dead while its upstreams are alive: pings without
/// an answer must not keep it lost.
void pings_do_not_prolong_a_loss()
{
    domain_reach_fixture node;
    node.record_misses({"b"}, 600ms);
    cr_assert(node.ping(7s) == (std::vector<std::string>{"b"}));
    cr_assert(!node.is_reachable("b", node.now));
    cr_assert(node.ping(2s).empty());
    cr_assert(node.is_reachable("b", node.now));
}

/// While the whole fleet starts, domains that were never heard from must not
/// count as lost.
void an_unknown_domain_does_not_count_as_lost()
{
    domain_reach_fixture node;
    node.reach = policy::domain_reach("a");
    node.record_misses({"b", "c", "d"}, 5s);
    cr_assert(node.can_cover());
    cr_assert(!node.reach.is_in_minority(node.now));
}

} // namespace

Test(domain_reach, partitioned_node)
{
    a_partitioned_node_cannot_cover_and_is_in_minority();
}
Test(domain_reach, lost_domain)
{
    other_domains_serve_without_a_lost_domain();
}
Test(domain_reach, even_split)
{
    neither_half_of_an_even_split_is_a_minority();
}
Test(domain_reach, process_pause)
{
    simultaneous_misses_do_not_count_as_unreachable();
}
Test(domain_reach, intermittent_answers)
{
    a_domain_that_answers_intermittently_is_reachable();
}
Test(domain_reach, probes)
{
    a_lost_domain_is_probed_again();
}
Test(domain_reach, shared_probes)
{
    many_nodes_share_the_rate_of_probes();
}
Test(domain_reach, few_requests)
{
    a_loss_is_noticed_with_few_requests();
}
Test(domain_reach, answered_ping)
{
    an_answered_ping_ends_the_suspicion();
}
Test(domain_reach, dead_nodes)
{
    pings_do_not_prolong_a_loss();
}
Test(domain_reach, fleet_start)
{
    an_unknown_domain_does_not_count_as_lost();
}
