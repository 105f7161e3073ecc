// Measures what one node spends on control at several fleet sizes, with the
// product's code on a paused clock, and prints a point per line:
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

constexpr std::size_t domains = 5;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void print(const char* quantity, std::size_t size, double value,
           const char* unit)
{
    std::cout << quantity << ' ' << size << ' ' << value << ' ' << unit
              << std::endl;
}

std::string domain_name(std::size_t number)
{
    return "domain" + std::to_string(number % domains);
}

/// Members on a paused clock that follow each other's document digest.
class gossip_fleet
{
public:
    explicit gossip_fleet(std::size_t count) : digests_(count)
    {
        for (std::size_t number = 0; number < count; ++number) {
            add(number);
        }
    }

    void run(runtime::duration time)
    {
        scheduler_.run_until(scheduler_.now() + time);
    }

    [[nodiscard]] bool is_joined() const
    {
        return std::ranges::all_of(nodes_, [&](const auto& node) {
            return node->live_nodes().size() == nodes_.size();
        });
    }

    /// Returns the seconds until an edit at one node is known to all, by
    /// digests alone.
    double spread_edit()
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

    /// Returns the seconds until all know that a node stopped.
    double find_death()
    {
        const auto begin = scheduler_.now();
        stopped_ = nodes_.size() - 1;
        const auto is_known = [&] {
            for (std::size_t node = 0; node < stopped_; ++node) {
                if (nodes_[node]->live_nodes().size() != stopped_) {
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

    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;

private:
    void set_digest(std::size_t number, peers::digest_summary digest)
    {
        digests_[number] = digest;
        nodes_[number]->set_digest(digest);
    }

    void add(std::size_t number)
    {
        peers::member self;
        self.name = "node" + std::to_string(number);
        self.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        self.failure_domain = domain_name(number);
        self.region = number % domains < 3 ? "east" : "west";
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
            if (from == stopped_) {
                return;
            }
            const auto text = peers::encode_members(nodes_[from]->members());
            bytes += text.size();
            nodes_[number]->merge(*peers::decode_members(text),
                                  scheduler_.now());
        };
        nodes_.push_back(std::make_unique<peers::membership>(
            self, peers::membership_settings{}, std::move(hooks), number));
        for (std::uint16_t seed = 0; seed < 6; ++seed) {
            nodes_.back()->add_seed(
                {"10.0.0.1", static_cast<std::uint16_t>(1000 + seed)});
        }
        tick(number);
    }

    void tick(std::size_t number)
    {
        // The first tick is spread, as the starts of processes are.
        const auto delay =
            50ms + std::chrono::microseconds(number * 7919 % 50'000);
        scheduler_.after(delay, [this, number] { repeat(number); });
    }

    void repeat(std::size_t number)
    {
        if (number == stopped_) {
            return;
        }
        nodes_[number]->tick(scheduler_.now());
        scheduler_.after(50ms, [this, number] { repeat(number); });
    }

    void deliver(std::size_t from, std::size_t to, std::string datagram)
    {
        bytes += datagram.size();
        ++messages;
        if (to >= nodes_.size() || to == stopped_ || from == stopped_) {
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
    std::size_t stopped_ = static_cast<std::size_t>(-1);
};

void measure_gossip(std::size_t size)
{
    constexpr auto window = 20s;
    const auto heap = heap_bytes();
    gossip_fleet fleet(size);
    double joined = 0;
    while (!fleet.is_joined() && joined < 120) {
        fleet.run(500ms);
        joined += 0.5;
    }
    print("gossip_join", size, joined, "s");
    fleet.run(20s);
    const auto count = static_cast<double>(size);
    print("gossip_heap", size, (heap_bytes() - heap) / count, "B/node");
    const auto bytes = fleet.bytes;
    const auto messages = fleet.messages;
    const auto begin = processor_seconds();
    fleet.run(window);
    const auto seconds = std::chrono::duration<double>(window).count();
    print("gossip_core", size,
          100 * (processor_seconds() - begin) / count / seconds, "%");
    print("gossip_bytes", size,
          static_cast<double>(fleet.bytes - bytes) / count / seconds, "B/s");
    print("gossip_messages", size,
          static_cast<double>(fleet.messages - messages) / count / seconds,
          "1/s");
    print("edit_by_digests", size, fleet.spread_edit(), "s");
    print("death_known", size, fleet.find_death(), "s");
}

std::string make_document(std::size_t upstreams)
{
    std::string text = "[team t]\n[class c]\nowner = t\nrank = 0\n"
                       "deadline = 250ms\n";
    for (std::size_t domain = 0; domain < domains; ++domain) {
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
    print("document_text", upstreams, static_cast<double>(text.size()), "B");
    const auto heap = heap_bytes();
    document::document_state state;
    auto begin = processor_seconds();
    (void)state.apply("document", text, 1);
    print("document_read", upstreams, processor_seconds() - begin, "s");
    print("document_heap", upstreams, heap_bytes() - heap, "B");
    auto records = state.records();
    auto& changed = records.front();
    changed.revision = 2;
    changed.text += "# edited\n";
    begin = processor_seconds();
    (void)state.merge(std::span(&changed, 1));
    print("document_edit", upstreams, processor_seconds() - begin, "s");

    const auto described = state.effective();
    std::vector<policy::node_view> nodes;
    const auto count = std::max<std::size_t>(6, upstreams * 900 / 6600);
    for (std::size_t number = 0; number < count; ++number) {
        nodes.push_back(
            {policy::node_id::from_name("node" + std::to_string(number)),
             domain_name(number), false});
    }
    begin = processor_seconds();
    const policy::ownership owners(*described, nodes);
    print("ownership_computed", upstreams, processor_seconds() - begin, "s");
    std::map<policy::node_id, std::size_t> owned;
    for (const auto& each : described->upstreams()) {
        ++owned[*owners.owner_of(each.id)];
    }
    std::size_t most = 0;
    for (const auto& [node, number] : owned) {
        most = std::max(most, number);
    }
    print("owned_most", upstreams, static_cast<double>(most), "upstreams");
    // Owners that a query to 220 upstreams in a row of the document reaches.
    std::set<policy::node_id> reached;
    std::size_t position = 0;
    for (const auto& each : described->upstreams()) {
        if (position++ < 220) {
            reached.insert(*owners.owner_of(each.id));
        }
    }
    print("owners_per_query", upstreams, static_cast<double>(reached.size()),
          "nodes");

    policy::replica_directory directory;
    const auto directory_heap = heap_bytes();
    directory.set_deployment(*described);
    print("directory_heap", upstreams, heap_bytes() - directory_heap, "B");
    std::mt19937_64 random(1);
    const auto shards = described->shards_of_index("i");
    constexpr int rounds = 200'000;
    begin = processor_seconds();
    for (int round = 0; round < rounds; ++round) {
        const auto& shard = shards[random() % shards.size()];
        (void)directory.choose({shard.replicas, {}, {}, 0, 0, {}}, random);
    }
    print("replica_choice", upstreams,
          1e9 * (processor_seconds() - begin) / rounds, "ns");
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
