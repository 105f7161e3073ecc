#ifndef TAMARACKHOIST_PEERS_MEMBERSHIP_HPP
#define TAMARACKHOIST_PEERS_MEMBERSHIP_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <tamarackhoist/peers/gossip_message.hpp>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::peers
{

/// Times and counts of the failure detector.
struct membership_settings {
    runtime::duration probe_interval = std::chrono::milliseconds(400);
    /// Time after which an unanswered ping is tried through other members.
    runtime::duration direct_timeout = std::chrono::milliseconds(150);
    runtime::duration suspicion_timeout = std::chrono::milliseconds(1000);
    /// Time after which a dead member is forgotten.
    runtime::duration dead_retention = std::chrono::minutes(10);
    std::size_t indirect_probes = 3;
    /// One in this many probes goes to another failure domain.
    std::uint32_t remote_probe_interval = 4;
    /// Times an update is sent, per doubling of the member count.
    std::uint32_t sends_per_doubling = 2;
    std::size_t updates_per_message = 14;
    /// Interval of the exchange of all members with one peer, which settles
    /// what lost datagrams and mass starts leave behind.
    runtime::duration exchange_interval = std::chrono::seconds(20);
    /// Interval of that exchange while the member count still grows.
    runtime::duration join_interval = std::chrono::seconds(1);
};

/// Gossip membership with direct and indirect probes, suspicion, and
/// refutation by the suspected member. Free of I/O; not thread-safe.
///
/// docs/design/membership.md describes the steps.
class membership
{
public:
    struct hooks {
        std::function<void(const transport::endpoint&, const gossip_message&)>
            send;
        /// Called when the set of live members or a state changed.
        std::function<void()> on_change;
        std::function<void(const member&, member_state before)> on_transition;
        /// A peer's document differs from ours.
        std::function<void(const member&, const digest_summary&)>
            on_other_digest;
        std::function<void(const drain_update&)> on_drain;
        /// Asks a peer for all members that it knows; the answer goes to
        /// `merge`.
        std::function<void(const member&)> pull;
        /// A peer answered a ping that was sent at the given time.
        std::function<void(runtime::time_point)> on_ack;
    };

    membership(member self, membership_settings settings, hooks actions,
               std::uint64_t seed);

    /// Adds an address to contact, from the settings or the VM list. It is a
    /// hint: it makes no member and removes none.
    void add_seed(const transport::endpoint& where);

    /// Probes, expires suspicions and contacts seeds.
    void tick(runtime::time_point now);

    void on_message(const gossip_message& message, runtime::time_point now);

    /// Takes over what another node knows about all members.
    void merge(std::span<const member> known, runtime::time_point now);

    /// Forgets pending probes after a pause: that nobody was heard during it
    /// says nothing about the others.
    void on_resumed(runtime::time_point now);

    /// Announces that this node takes no new work.
    void leave(runtime::time_point now);

    void set_digest(digest_summary digest) { digest_ = digest; }

    /// Spreads a drain that this node observed.
    void announce_drain(const drain_update& update);

    /// Pings some members of `failure_domain`, also those believed dead, to
    /// learn at once when the domain is within reach again.
    void ping_domain(std::string_view failure_domain);

    /// Returns every known member, this node included.
    [[nodiscard]] std::vector<member> members() const;

    /// Returns the live nodes, this node included.
    [[nodiscard]] std::vector<policy::node_view> live_nodes() const;

    [[nodiscard]] std::optional<member> find(policy::node_id id) const;
    [[nodiscard]] const member& self() const { return self_; }

    /// Returns whether any peer was heard within `age`.
    [[nodiscard]] bool has_heard_within(runtime::duration age,
                                        runtime::time_point now) const;

    /// Returns up to `count` live peers, chosen at random.
    [[nodiscard]] std::vector<member> random_peers(std::size_t count);

private:
    struct record {
        member description;
        runtime::time_point changed_at;
        std::uint32_t remaining_sends = 0;
    };
    struct probe {
        member target;
        std::uint64_t sequence = 0;
        runtime::time_point sent_at;
        bool is_indirect = false;
    };
    struct relay {
        transport::endpoint origin;
        std::uint64_t origin_sequence = 0;
        runtime::time_point expires_at;
    };
    struct spread_drain {
        drain_update update;
        std::uint32_t remaining_sends = 0;
    };

    void apply(const member& update, runtime::time_point now);
    void apply_about_self(const member& update);
    void set_state(record& each, member_state state, runtime::time_point now);
    void send(const transport::endpoint& target, gossip_kind kind,
              std::uint64_t sequence, std::optional<member> subject = {});
    void start_probe(runtime::time_point now);
    void check_probe(runtime::time_point now);
    void on_probe_failed(record& target, runtime::time_point now);
    void expire(runtime::time_point now);
    void contact_seeds(runtime::time_point now);
    void exchange_members(runtime::time_point now);
    void tell_some_peers();
    void on_ack(std::uint64_t sequence, runtime::time_point now);
    [[nodiscard]] std::optional<member> next_probe_target();
    [[nodiscard]] std::vector<member> next_updates();
    [[nodiscard]] std::uint32_t sends_of_update() const;
    [[nodiscard]] static bool counts_as_live(const member& each);

    member self_;
    const membership_settings settings_;
    const hooks actions_;
    std::mt19937_64 random_;
    std::map<std::string, record> others_;
    std::vector<transport::endpoint> seeds_;
    std::deque<std::string> probe_order_;
    std::vector<probe> probes_;
    std::map<std::uint64_t, relay> relays_;
    std::map<policy::upstream_id, spread_drain> drains_;
    std::uint64_t next_sequence_ = 1;
    std::uint32_t probe_count_ = 0;
    std::uint32_t self_sends_ = 0;
    runtime::time_point probed_at_;
    runtime::time_point seeded_at_;
    runtime::time_point exchanged_at_;
    std::size_t exchanged_count_ = 0;
    runtime::time_point heard_at_;
    bool has_heard_ = false;
    digest_summary digest_;
};

} // namespace tamarackhoist::peers

#endif
