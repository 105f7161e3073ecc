#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <tamarackhoist/peers/membership.hpp>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/runtime/virtual_scheduler.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using peers::member_state;

namespace
{

/// Nodes on a virtual clock, connected by links that lose datagrams.
class member_fleet
{
public:
    member_fleet(std::size_t count, double loss) : loss_(loss)
    {
        for (std::size_t number = 0; number < count; ++number) {
            add(number, 1);
        }
    }

    void add(std::size_t number, std::uint64_t incarnation)
    {
        peers::member self;
        self.name = "node" + std::to_string(number);
        self.endpoint = {"127.0.0.1",
                         static_cast<std::uint16_t>(1000 + number)};
        self.failure_domain = "d" + std::to_string(number % 4);
        self.incarnation = incarnation;
        peers::membership::hooks hooks;
        hooks.send = [this, number](const transport::endpoint& to,
                                    const peers::gossip_message& message) {
            send(number, to.port - 1000U, message);
        };
        hooks.on_change = [] {
        };
        hooks.on_transition = [this, number](const peers::member& subject,
                                             member_state) {
            deaths_seen[number] += subject.state == member_state::dead ? 1 : 0;
        };
        hooks.on_digest_mismatch = [](const peers::member&,
                                      const peers::digest_summary&) {
        };
        hooks.on_drain = [](const peers::drain_update&) {
        };
        hooks.on_ack = [](runtime::time_point) {
        };
        hooks.request_members = [this, number](const peers::member& peer) {
            pull(number, peer.endpoint.port - 1000U);
        };
        nodes[number] = std::make_unique<peers::membership>(
            self, peers::membership_settings{}, std::move(hooks),
            number * 31 + incarnation);
        nodes[number]->add_seed({"127.0.0.1", 1000});
        nodes[number]->add_seed({"127.0.0.1", 1001});
        is_paused[number] = false;
        tick(number, ++start_counts_[number]);
    }

    void run(runtime::duration time)
    {
        scheduler.run_until(scheduler.now() + time);
    }

    /// Returns whether each node that is not paused sees `count` live nodes.
    [[nodiscard]] bool all_see_live_nodes(std::size_t count) const
    {
        return std::ranges::all_of(nodes, [&](const auto& entry) {
            return is_paused.at(entry.first) ||
                   entry.second->live_nodes().size() == count;
        });
    }

    std::map<std::size_t, std::unique_ptr<peers::membership>> nodes;
    std::map<std::size_t, bool> is_paused;
    std::map<std::size_t, bool> is_partitioned;
    /// Number of members that each node has declared dead or heard were dead.
    std::map<std::size_t, int> deaths_seen;
    runtime::virtual_scheduler scheduler;
    /// Size of the largest datagram sent.
    std::size_t max_sent_bytes = 0;
    /// Bytes sent by gossip and member list exchanges.
    std::size_t total_sent_bytes = 0;

private:
    void tick(std::size_t number, std::uint32_t start)
    {
        scheduler.after(50ms, [this, number, start] {
            const auto found = nodes.find(number);
            if (found == nodes.end() || start_counts_[number] != start) {
                return;
            }
            if (!is_paused[number]) {
                found->second->tick(scheduler.now());
            }
            tick(number, start);
        });
    }

    void send(std::size_t from, std::size_t to,
              const peers::gossip_message& message)
    {
        const auto datagram = peers::encode_gossip(message);
        max_sent_bytes = std::max(max_sent_bytes, datagram.size());
        total_sent_bytes += datagram.size();
        const bool is_lost =
            std::uniform_real_distribution<>(0, 1)(random_) < loss_;
        if (is_lost || is_partitioned[from] != is_partitioned[to]) {
            return;
        }
        scheduler.after(500us, [this, to, datagram] {
            const auto found = nodes.find(to);
            if (found == nodes.end() || is_paused[to]) {
                return;
            }
            const auto decoded = peers::decode_gossip(datagram);
            found->second->on_message(*decoded, scheduler.now());
        });
    }

    /// Passes the member list of `to` to `from`, as over a connection.
    void pull(std::size_t from, std::size_t to)
    {
        const bool is_reachable = nodes.contains(to) && !is_paused[to] &&
                                  is_partitioned[from] == is_partitioned[to];
        if (!is_reachable) {
            return;
        }
        const auto text = peers::encode_members(nodes[to]->members());
        total_sent_bytes += text.size();
        scheduler.after(1ms, [this, from, text] {
            if (nodes.contains(from)) {
                nodes[from]->merge(*peers::decode_members(text),
                                   scheduler.now());
            }
        });
    }

    const double loss_;
    std::mt19937_64 random_{1};
    /// Number of times that each node was started; stops the ticks of its
    /// earlier processes.
    std::map<std::size_t, std::uint32_t> start_counts_;
};

void dead_member_is_detected_within_three_seconds()
{
    member_fleet fleet(6, 0.01);
    fleet.run(5s);
    cr_assert(fleet.all_see_live_nodes(6));
    fleet.nodes.erase(3);
    fleet.run(3s);
    cr_assert(fleet.all_see_live_nodes(5));
}

void datagram_loss_marks_no_member_dead()
{
    member_fleet fleet(12, 0.05);
    fleet.run(5s);
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        cr_assert(fleet.all_see_live_nodes(12), "second %d", second);
    }
}

void paused_member_rejoins()
{
    member_fleet fleet(6, 0.01);
    fleet.run(5s);
    fleet.is_paused[2] = true;
    fleet.run(10s);
    cr_assert(fleet.all_see_live_nodes(5));
    fleet.is_paused[2] = false;
    fleet.nodes[2]->on_resumed(fleet.scheduler.now());
    fleet.run(5s);
    cr_assert(fleet.all_see_live_nodes(6));
    // It did not mark the others as dead because of its own pause.
    cr_assert_eq(fleet.nodes[2]->live_nodes().size(), 6U);
}

void healed_partition_converges_within_five_seconds()
{
    member_fleet fleet(8, 0);
    fleet.run(5s);
    for (const std::size_t number : {0U, 4U}) {
        fleet.is_partitioned[number] = true;
    }
    fleet.run(60s);
    cr_assert_eq(fleet.nodes[0]->live_nodes().size(), 2U);
    cr_assert_eq(fleet.nodes[1]->live_nodes().size(), 6U);
    for (const std::size_t number : {0U, 4U}) {
        fleet.is_partitioned[number] = false;
    }
    fleet.run(5s);
    cr_assert(fleet.all_see_live_nodes(8));
}

/// One of four failure domains is cut off for some seconds and declares most of
/// the others dead. When the partition heals, the others must not believe that:
/// they would lose most of their peers until each has refuted.
void a_healed_minority_does_not_spread_its_view()
{
    constexpr std::size_t count = 48;
    member_fleet fleet(count, 0.01);
    fleet.run(10s);
    cr_assert(fleet.all_see_live_nodes(count));
    const auto set_partitioned = [&](bool is_partitioned) {
        for (std::size_t number = 0; number < count; number += 4) {
            fleet.is_partitioned[number] = is_partitioned;
        }
    };
    const auto set_in_minority = [&](bool is_in_minority) {
        for (std::size_t number = 0; number < count; number += 4) {
            fleet.nodes[number]->set_in_minority(is_in_minority,
                                                 fleet.scheduler.now());
        }
    };
    set_partitioned(true);
    fleet.run(1500ms);
    set_in_minority(true);
    fleet.run(6s);
    cr_assert_gt(fleet.deaths_seen[0], 20);
    // A process that starts now does not know that it is cut off.
    fleet.nodes.erase(4);
    fleet.add(4, 2);
    fleet.run(1s);
    fleet.deaths_seen.clear();
    set_partitioned(false);
    fleet.run(500ms);
    set_in_minority(false);
    fleet.run(4s);
    int deaths = 0;
    for (std::size_t number = 0; number < count; ++number) {
        deaths += number % 4 == 0 ? 0 : fleet.deaths_seen[number];
    }
    // The members of the minority were rightly declared dead; a late record of
    // that may still arrive.
    cr_assert_leq(deaths, 36, "%d deaths", deaths);
    cr_assert(fleet.all_see_live_nodes(count));
}

/// A member that dies during the partition stays dead for the healed side.
void a_death_during_the_partition_is_known_afterwards()
{
    member_fleet fleet(16, 0.01);
    fleet.run(5s);
    for (std::size_t number = 0; number < 16; number += 4) {
        fleet.is_partitioned[number] = true;
        fleet.nodes[number]->set_in_minority(true, fleet.scheduler.now());
    }
    fleet.nodes.erase(5);
    fleet.run(8s);
    for (std::size_t number = 0; number < 16; number += 4) {
        fleet.is_partitioned[number] = false;
        fleet.nodes[number]->set_in_minority(false, fleet.scheduler.now());
    }
    fleet.run(10s);
    cr_assert(fleet.all_see_live_nodes(15));
}

void restarted_member_is_counted_once()
{
    member_fleet fleet(6, 0.01);
    fleet.run(5s);
    fleet.nodes.erase(3);
    fleet.run(200ms);
    fleet.add(3, 2);
    fleet.run(5s);
    cr_assert(fleet.all_see_live_nodes(6));
    const auto seen = fleet.nodes[0]->find(policy::node_id::from_name("node3"));
    cr_assert_eq(seen->incarnation, 2U);
}

/// Guards against a restarted node staying dead for its peers: when the system
/// clock of a VM went back, the new process starts with a smaller incarnation
/// than the one before it.
void restarted_member_with_smaller_incarnation_rejoins()
{
    for (const auto absence : {200ms, 10'000ms}) {
        member_fleet fleet(6, 0.01);
        fleet.nodes.erase(3);
        fleet.add(3, 9);
        fleet.run(5s);
        fleet.nodes.erase(3);
        fleet.run(absence);
        fleet.add(3, 2);
        fleet.run(5s);
        cr_assert(fleet.all_see_live_nodes(6));
        const auto seen =
            fleet.nodes[0]->find(policy::node_id::from_name("node3"));
        cr_assert_eq(seen->incarnation, fleet.nodes[3]->self().incarnation);
    }
}

void leaving_member_is_known_to_all_at_once()
{
    member_fleet fleet(6, 0);
    fleet.run(5s);
    fleet.nodes[3]->leave(fleet.scheduler.now());
    fleet.run(100ms);
    for (const auto& [number, node] : fleet.nodes) {
        const auto nodes = node->live_nodes();
        const auto leaving_node = std::ranges::find(
            nodes, policy::node_id::from_name("node3"), &policy::node_view::id);
        cr_assert(leaving_node != nodes.end() && leaving_node->is_leaving);
    }
}

void datagrams_of_large_fleet_stay_within_limit()
{
    member_fleet fleet(100, 0);
    fleet.run(20s);
    cr_assert(fleet.all_see_live_nodes(100));
    cr_assert_leq(fleet.max_sent_bytes, peers::max_datagram_bytes);
}

void malformed_input_does_not_crash_decoders()
{
    const auto property = [](const std::string& text) {
        (void)peers::decode_gossip(text);
        (void)peers::decode_sub_requests(text, {});
        (void)peers::decode_sub_reply(text);
        (void)peers::decode_order(text);
        (void)peers::decode_outcome(text);
        (void)peers::decode_cancel(text);
        (void)peers::decode_sections(text);
        (void)peers::decode_document_request(text);
    };
    cr_assert(rc::check("malformed input does not crash a decoder", property));
    cr_assert(!peers::decode_gossip("garbage"));
    cr_assert(!peers::decode_gossip(std::string(5000, 'x')));
}

void sub_requests_round_trip()
{
    const runtime::time_point now(5s);
    policy::sub_request request;
    request.id = {3, 4};
    request.target = {5};
    request.rank = 1;
    request.deadline = now + 120ms;
    request.range = {10, 20};
    request.version = 6;
    request.may_redirect = true;
    request.body = std::make_shared<const std::string>("body");
    // The remaining time is counted from decoding, not from encoding.
    const runtime::time_point later(50s);
    const auto decoded = peers::decode_sub_requests(
        peers::encode_sub_requests(std::span(&request, 1), now), later);
    cr_assert(decoded && decoded->size() == 1);
    const auto& copy = decoded->front();
    cr_assert(copy.id == request.id && copy.target == request.target);
    cr_assert(copy.range == request.range && copy.version == 6);
    cr_assert(copy.deadline == later + 120ms);
    cr_assert(copy.may_redirect && copy.is_idempotent && !copy.is_hedge);
    cr_assert_eq(*copy.body, "body");
}

} // namespace

Test(membership, healed_minority)
{
    a_healed_minority_does_not_spread_its_view();
}
Test(membership, death_during_partition)
{
    a_death_during_the_partition_is_known_afterwards();
}
Test(membership, dead_member)
{
    dead_member_is_detected_within_three_seconds();
}
Test(membership, datagram_loss)
{
    datagram_loss_marks_no_member_dead();
}
Test(membership, pause)
{
    paused_member_rejoins();
}
Test(membership, partition)
{
    healed_partition_converges_within_five_seconds();
}
Test(membership, restart)
{
    restarted_member_is_counted_once();
}
Test(membership, clock_goes_back)
{
    restarted_member_with_smaller_incarnation_rejoins();
}
Test(membership, leave)
{
    leaving_member_is_known_to_all_at_once();
}
Test(membership, datagram_size)
{
    datagrams_of_large_fleet_stay_within_limit();
}
Test(peer_codec, malformed_input)
{
    malformed_input_does_not_crash_decoders();
}
Test(peer_codec, round_trip)
{
    sub_requests_round_trip();
}
