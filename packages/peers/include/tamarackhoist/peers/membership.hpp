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

/// Timing and limits of the failure detector and of gossip.
struct membership_settings {
    runtime::duration probe_interval = std::chrono::milliseconds(400);
    /// Time without an ack after which a probe is retried indirectly, through
    /// other members.
    runtime::duration direct_probe_timeout = std::chrono::milliseconds(150);
    /// Time after which a suspected member that has not refuted is dead.
    runtime::duration suspicion_timeout = std::chrono::milliseconds(1000);
    /// Time after which the record of a dead member is deleted.
    runtime::duration dead_retention = std::chrono::minutes(10);
    /// Members that are asked to probe a target indirectly. Also the number of
    /// peers that a state change is sent to immediately.
    std::size_t indirect_probe_count = 3;
    /// One in this many probes goes to another failure domain.
    std::uint32_t probes_per_remote_probe = 4;
    /// Number of times that an update is sent, for each doubling of the member
    /// count: updates spread in time logarithmic in the size of the fleet.
    std::uint32_t sends_per_doubling = 2;
    std::size_t max_updates_per_message = 14;
    /// Interval at which the full member list is pulled from a random peer.
    /// This repairs differences that lost datagrams and mass starts leave
    /// behind.
    runtime::duration exchange_interval = std::chrono::seconds(20);
    /// Interval of that pull while the number of known members still grows.
    runtime::duration join_exchange_interval = std::chrono::seconds(1);
};

/// Gossip-based membership and failure detection: direct and indirect probes,
/// suspicion, and refutation by the suspected member. Does no I/O itself; not
/// thread-safe.
///
/// docs/design/membership.md describes the protocol.
class membership
{
public:
    /// All of them must be set.
    struct hooks {
        /// Sends a datagram.
        std::function<void(const transport::endpoint&, const gossip_message&)>
            send;
        /// Called when the set of members, or the state, the endpoint or the
        /// incarnation of one of them has changed.
        std::function<void()> on_change;
        /// Called when a member joined or its state changed; a member that was
        /// not known before was `dead`.
        std::function<void(const member&, member_state before)> on_transition;
        /// Called for each message of a peer whose document differs from this
        /// node's.
        std::function<void(const member&, const digest_summary&)>
            on_digest_mismatch;
        /// Called when this node learns that an upstream drains or serves
        /// again.
        std::function<void(const drain_update&)> on_drain;
        /// Requests the full member list of a peer, to be passed to `merge`.
        std::function<void(const member&)> request_members;
        /// Called when a peer acknowledged a probe; receives the time at which
        /// the probe was sent.
        std::function<void(runtime::time_point)> on_ack;
    };

    /// `random_seed` seeds the choice of probe targets and peers.
    membership(member self, membership_settings settings, hooks callbacks,
               std::uint64_t random_seed);

    /// Adds an endpoint to ping, from the settings or the VM list. It is only a
    /// hint: it neither adds nor removes a member.
    void add_seed(const transport::endpoint& seed);

    /// Does the periodic work that is due: probes, timeouts of suspicions,
    /// pings of seeds and member list exchanges.
    void tick(runtime::time_point now);

    /// Handles a received datagram.
    void on_message(const gossip_message& message, runtime::time_point now);

    /// Merges the member list of another node.
    void merge(std::span<const member> updates, runtime::time_point now);

    /// Discards pending probes and restarts suspicion timeouts after this
    /// process was paused: missing acks during the pause are no evidence of a
    /// failure of others.
    void on_resumed(runtime::time_point now);

    /// Sets whether this node reaches less than half of the failure domains, so
    /// that it rather than the members of the others may be cut off. Failures
    /// of those members are doubtful then: they are gossiped only within this
    /// node's own domain, and are taken back once a member that was declared
    /// dead sends a message. Otherwise each healed partition would spread the
    /// minority's view, in which most of the fleet is dead.
    void set_in_minority(bool is_in_minority, runtime::time_point now);

    /// Announces to all peers that this node accepts no new work.
    void leave(runtime::time_point now);

    /// Sets the summary of this node's document, which is sent with all gossip.
    void set_digest(digest_summary digest) { digest_ = digest; }

    /// Spreads a drain update unless it is not newer than the known one.
    void announce_drain(const drain_update& update);

    /// Pings some members of `failure_domain`, including dead ones, to detect
    /// early that the domain is reachable again.
    void ping_domain(std::string_view failure_domain);

    /// Returns every known member, this node included.
    [[nodiscard]] std::vector<member> members() const;

    /// Returns the live nodes, this node included.
    [[nodiscard]] std::vector<policy::node_view> live_nodes() const;

    [[nodiscard]] std::optional<member> find(policy::node_id id) const;
    [[nodiscard]] const member& self() const { return self_; }

    /// Returns up to `count` live peers, chosen at random.
    [[nodiscard]] std::vector<member> random_peers(std::size_t count);

private:
    struct peer_record {
        member description;
        runtime::time_point changed_at;
        /// Number of times that this record is still to be gossiped.
        std::uint32_t remaining_sends = 0;
        /// Whether the failure was declared while this node was in a minority.
        bool is_doubtful = false;
    };
    struct probe {
        member target;
        std::uint64_t sequence = 0;
        runtime::time_point sent_at;
        bool is_indirect = false;
    };
    /// A ping that this node sent for another member.
    struct relayed_probe {
        transport::endpoint origin;
        /// Sequence number of the ping request.
        std::uint64_t origin_sequence = 0;
        runtime::time_point expires_at;
    };
    struct drain_record {
        drain_update update;
        std::uint32_t remaining_sends = 0;
    };

    void apply(const member& update, runtime::time_point now);
    void apply_update_about_self(const member& update);
    void set_state(peer_record& peer, member_state state,
                   runtime::time_point now);
    void send(const transport::endpoint& target, gossip_kind kind,
              std::uint64_t sequence, std::optional<member> subject = {});
    void start_probe(runtime::time_point now);
    void check_probe(runtime::time_point now);
    void on_probe_failed(peer_record& target, runtime::time_point now);
    void expire_records(runtime::time_point now);
    void ping_seeds(runtime::time_point now);
    void exchange_members(runtime::time_point now);
    void ping_random_peers();
    void on_ack(std::uint64_t sequence, runtime::time_point now);
    [[nodiscard]] std::optional<member> next_probe_target();
    /// Returns the updates to send to `target`.
    [[nodiscard]] std::vector<member>
    next_updates(const transport::endpoint& target);
    [[nodiscard]] bool is_remote(const member& other) const;
    [[nodiscard]] bool is_remote(const transport::endpoint& target) const;
    [[nodiscard]] bool is_remote_failure(const member& other) const;
    /// Records that a member's state has changed, and who is to learn of it.
    void record_change(peer_record& peer, runtime::time_point now);
    /// Returns whether `update` repeats a failure that this node took back a
    /// moment ago.
    [[nodiscard]] bool repeats_doubt(const member& update,
                                     runtime::time_point now) const;
    /// Takes back the doubtful failures in the domain of a sender that was
    /// declared dead.
    void take_back_failures(const member& sender, runtime::time_point now);
    [[nodiscard]] std::uint32_t sends_per_update() const;
    [[nodiscard]] static bool is_live(const member& peer);

    member self_;
    const membership_settings settings_;
    const hooks hooks_;
    std::mt19937_64 random_;
    /// By name; includes dead members until they expire.
    std::map<std::string, peer_record> peers_;
    std::vector<transport::endpoint> seeds_;
    /// Names of the members that are still to be probed in this round.
    std::deque<std::string> probe_order_;
    std::vector<probe> probes_;
    /// By the sequence number of the ping.
    std::map<std::uint64_t, relayed_probe> relayed_probes_;
    std::map<policy::upstream_id, drain_record> drains_;
    std::uint64_t next_sequence_ = 1;
    std::uint32_t probe_count_ = 0;
    std::uint32_t self_sends_ = 0;
    runtime::time_point last_probe_at_;
    runtime::time_point last_seed_ping_at_;
    runtime::time_point last_exchange_at_;
    std::size_t peer_count_at_exchange_ = 0;
    digest_summary digest_;
    bool is_in_minority_ = false;
    /// Until this time after a minority has ended, failures are doubtful still.
    runtime::time_point doubts_until_;
    /// Whether a member may have `peer_record::is_doubtful` set.
    bool has_doubtful_members_ = false;
    /// Until this time, failures that were taken back are not believed again.
    runtime::time_point taken_back_until_;
};

} // namespace tamarackhoist::peers

#endif
