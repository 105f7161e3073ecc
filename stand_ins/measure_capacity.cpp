// Measures the CPU time, memory and network traffic that membership, document
// handling and replica choice cost one node at several fleet sizes. Runs the
// production code on a virtual clock and prints one measurement per line:
// QUANTITY SIZE VALUE UNIT. docs/CAPACITY.md explains the quantities.

#include <algorithm>
#include <chrono>
#include <ctime>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tamarackhoist/document/document_state.hpp>
#include <tamarackhoist/peers/membership.hpp>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/policy/replica_directory.hpp>
#include <tamarackhoist/runtime/virtual_scheduler.hpp>

namespace
{

using namespace tamarackhoist;
using namespace std::chrono_literals;

constexpr std::size_t failure_domain_count = 5;

/// Returns the CPU time that this process has used, in seconds.
double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Returns the bytes of heap in use.
double used_heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void print_measurement(const char* quantity, std::size_t size, double value,
                       const char* unit)
{
    std::cout << quantity << ' ' << size << ' ' << value << ' ' << unit
              << std::endl;
}

std::string domain_name(std::size_t number)
{
    return "domain" + std::to_string(number % failure_domain_count);
}

/// Gossip members on a virtual clock. Each one adopts every newer document
/// digest that it receives.
class gossip_fleet
{
public:
    explicit gossip_fleet(std::size_t count) : digests_(count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            add_node(number);
        }
    }

    void run(runtime::duration time)
    {
        scheduler_.run_until(scheduler_.now() + time);
    }

    /// Returns whether every node considers all nodes alive.
    [[nodiscard]] bool has_joined() const
    {
        return std::ranges::all_of(nodes_, [&](const auto& node) {
            return node->live_nodes().size() == nodes_.size();
        });
    }

    /// Edits the document at one node and returns the seconds until the
    /// gossiped digests have brought the edit to all nodes.
    double measure_edit_spread()
    {
        set_digest(0, {2, 2});
        const auto begin = scheduler_.now();
        while (!std::ranges::all_of(digests_, [](const auto& digest) {
            return digest.revision == 2;
        })) {
            run(50ms);
        }
        return runtime::to_seconds(scheduler_.now() - begin);
    }

    /// Stops one node and returns the seconds until all others have detected
    /// it.
    double measure_failure_detection()
    {
        const auto begin = scheduler_.now();
        stopped_node_ = nodes_.size() - 1;
        const auto is_known = [&] {
            for (std::size_t node = 0; node < stopped_node_; ++node) {
                if (nodes_[node]->live_nodes().size() != stopped_node_) {
                    return false;
                }
            }
            return true;
        };
        while (!is_known()) {
            run(50ms);
        }
        return runtime::to_seconds(scheduler_.now() - begin);
    }

    /// Bytes of datagrams and of member lists pulled, over all nodes.
    std::uint64_t sent_bytes = 0;
    /// Datagrams sent by all nodes.
    std::uint64_t sent_messages = 0;

private:
    void set_digest(std::size_t number, peers::digest_summary digest)
    {
        digests_[number] = digest;
        nodes_[number]->set_digest(digest);
    }

    void add_node(std::size_t number)
    {
        peers::member self;
        self.name = "node" + std::to_string(number);
        self.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        self.failure_domain = domain_name(number);
        self.region = number % failure_domain_count < 3 ? "east" : "west";
        self.incarnation = 1;
        peers::membership::hooks hooks;
        hooks.send = [this, number](const transport::endpoint& to,
                                    const peers::gossip_message& message) {
            deliver(number, to.port - 1000U, peers::encode_gossip(message));
        };
        hooks.on_change = [] {
        };
        hooks.on_transition = [](const peers::member&, peers::member_state) {
        };
        hooks.on_digest_mismatch =
            [this, number](const peers::member&,
                           const peers::digest_summary& digest) {
                if (digest.revision > digests_[number].revision) {
                    set_digest(number, digest);
                }
            };
        hooks.on_drain = [](const peers::drain_update&) {
        };
        hooks.on_ack = [](runtime::time_point) {
        };
        hooks.request_members = [this, number](const peers::member& peer) {
            const auto from = peer.endpoint.port - 1000U;
            if (from == stopped_node_) {
                return;
            }
            const auto text = peers::encode_members(nodes_[from]->members());
            sent_bytes += text.size();
            nodes_[number]->merge(*peers::decode_members(text),
                                  scheduler_.now());
        };
        nodes_.push_back(std::make_unique<peers::membership>(
            self, peers::membership_settings{}, std::move(hooks), number));
        for (std::uint16_t seed = 0; seed < 6; ++seed) {
            nodes_.back()->add_seed(
                {"10.0.0.1", static_cast<std::uint16_t>(1000 + seed)});
        }
        schedule_first_tick(number);
    }

    void schedule_first_tick(std::size_t number)
    {
        // Staggers the first ticks, because processes start at different times.
        const auto delay =
            50ms + std::chrono::microseconds(number * 7919 % 50'000);
        scheduler_.after(delay, [this, number] { run_tick(number); });
    }

    void run_tick(std::size_t number)
    {
        if (number == stopped_node_) {
            return;
        }
        nodes_[number]->tick(scheduler_.now());
        scheduler_.after(50ms, [this, number] { run_tick(number); });
    }

    void deliver(std::size_t from, std::size_t to, std::string datagram)
    {
        sent_bytes += datagram.size();
        ++sent_messages;
        if (to >= nodes_.size() || to == stopped_node_ ||
            from == stopped_node_) {
            return;
        }
        scheduler_.after(500us, [this, to, datagram = std::move(datagram)] {
            nodes_[to]->on_message(*peers::decode_gossip(datagram),
                                   scheduler_.now());
        });
    }

    runtime::virtual_scheduler scheduler_;
    std::vector<std::unique_ptr<peers::membership>> nodes_;
    std::vector<peers::digest_summary> digests_;
    std::size_t stopped_node_ = static_cast<std::size_t>(-1);
};

void measure_gossip(std::size_t size)
{
    constexpr auto measurement_period = 20s;
    const auto initial_heap = used_heap_bytes();
    gossip_fleet fleet(size);
    double join_seconds = 0;
    while (!fleet.has_joined() && join_seconds < 120) {
        fleet.run(500ms);
        join_seconds += 0.5;
    }
    print_measurement("gossip_join", size, join_seconds, "s");
    fleet.run(20s);
    const auto node_count = static_cast<double>(size);
    print_measurement("gossip_heap", size,
                      (used_heap_bytes() - initial_heap) / node_count,
                      "B/node");
    const auto initial_bytes = fleet.sent_bytes;
    const auto initial_messages = fleet.sent_messages;
    const auto begin = cpu_seconds();
    fleet.run(measurement_period);
    const auto seconds =
        std::chrono::duration<double>(measurement_period).count();
    print_measurement("gossip_core", size,
                      100 * (cpu_seconds() - begin) / node_count / seconds,
                      "%");
    print_measurement("gossip_bytes", size,
                      static_cast<double>(fleet.sent_bytes - initial_bytes) /
                          node_count / seconds,
                      "B/s");
    print_measurement(
        "gossip_messages", size,
        static_cast<double>(fleet.sent_messages - initial_messages) /
            node_count / seconds,
        "1/s");
    print_measurement("edit_by_digests", size, fleet.measure_edit_spread(),
                      "s");
    print_measurement("death_known", size, fleet.measure_failure_detection(),
                      "s");
}

/// Returns a document of one index, whose shards have two upstreams each.
std::string make_document(std::size_t upstreams)
{
    std::string text = "[team t]\n[class c]\nowner = t\nrank = 0\n"
                       "deadline = 250ms\n";
    for (std::size_t domain = 0; domain < failure_domain_count; ++domain) {
        text += "[failure_domain " + domain_name(domain) +
                "]\nowner = t\nregion = r\n";
    }
    const auto shards = std::max<std::size_t>(1, upstreams / 2);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const auto name = "service" + std::to_string(shard);
        const auto begin = policy::key_space_end * shard / shards;
        const auto end = policy::key_space_end * (shard + 1) / shards;
        text += "[service " + name + "]\nowner = t\nkind = query\n";
        text += "[shard " + name + "]\nowner = t\nservice = " + name +
                "\nindex = i\nrange = " + std::to_string(begin) + "-" +
                std::to_string(end) + "\nreplicas = " + name + "-a, " + name +
                "-b\n";
        for (std::size_t replica = 0; replica < 2; ++replica) {
            text += "[upstream " + name + (replica == 0 ? "-a" : "-b") +
                    "]\nowner = t\nservice = " + name +
                    "\naddress = 10.0.0.1\nport = 80\nfailure_domain = " +
                    domain_name(shard + replica) +
                    "\nslots = 2\nconnections = 25\n";
        }
    }
    return text;
}

void measure_document(std::size_t upstreams)
{
    const auto text = make_document(upstreams);
    print_measurement("document_text", upstreams,
                      static_cast<double>(text.size()), "B");
    const auto initial_heap = used_heap_bytes();
    document::document_state state;
    auto begin = cpu_seconds();
    (void)state.apply("document", text, 1);
    print_measurement("document_read", upstreams, cpu_seconds() - begin, "s");
    print_measurement("document_heap", upstreams,
                      used_heap_bytes() - initial_heap, "B");
    auto records = state.records();
    auto& changed = records.front();
    changed.revision = 2;
    changed.text += "# edited\n";
    begin = cpu_seconds();
    (void)state.merge(std::span(&changed, 1));
    print_measurement("document_edit", upstreams, cpu_seconds() - begin, "s");

    const auto deployment = state.effective();
    std::vector<policy::node_view> nodes;
    const auto node_count = std::max<std::size_t>(6, upstreams * 900 / 6600);
    for (std::size_t number = 0; number < node_count; ++number) {
        nodes.push_back(
            {policy::node_id::from_name("node" + std::to_string(number)),
             domain_name(number), false});
    }
    begin = cpu_seconds();
    const policy::ownership ownership(*deployment, nodes);
    print_measurement("ownership_computed", upstreams, cpu_seconds() - begin,
                      "s");
    std::map<policy::node_id, std::size_t> owned_counts;
    for (const auto& upstream : deployment->upstreams()) {
        ++owned_counts[*ownership.owner_of(upstream.id)];
    }
    std::size_t max_owned = 0;
    for (const auto& [node, owned_count] : owned_counts) {
        max_owned = std::max(max_owned, owned_count);
    }
    print_measurement("owned_most", upstreams, static_cast<double>(max_owned),
                      "upstreams");
    // Counts the owners that a query to 220 consecutive upstreams of the
    // document must contact.
    std::set<policy::node_id> reached_owners;
    std::size_t position = 0;
    for (const auto& upstream : deployment->upstreams()) {
        if (position++ < 220) {
            reached_owners.insert(*ownership.owner_of(upstream.id));
        }
    }
    print_measurement("owners_per_query", upstreams,
                      static_cast<double>(reached_owners.size()), "nodes");

    policy::replica_directory directory;
    const auto directory_heap = used_heap_bytes();
    directory.set_deployment(*deployment);
    print_measurement("directory_heap", upstreams,
                      used_heap_bytes() - directory_heap, "B");
    std::mt19937_64 random(1);
    const auto shards = deployment->shards_of_index("i");
    constexpr int iterations = 200'000;
    begin = cpu_seconds();
    for (int iteration = 0; iteration < iterations; ++iteration) {
        const auto& shard = shards[random() % shards.size()];
        (void)directory.choose({shard.replicas, {}, {}, 0, 0, {}}, random);
    }
    print_measurement("replica_choice", upstreams,
                      1e9 * (cpu_seconds() - begin) / iterations, "ns");
}

} // namespace

int main()
{
    for (const std::size_t size : {6, 24, 96, 200}) {
        measure_gossip(size);
    }
    for (const std::size_t upstreams : {108, 440, 1650, 6600}) {
        measure_document(upstreams);
    }
}
