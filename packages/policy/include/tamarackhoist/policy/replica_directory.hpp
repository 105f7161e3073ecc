#ifndef TAMARACKHOIST_POLICY_REPLICA_DIRECTORY_HPP
#define TAMARACKHOIST_POLICY_REPLICA_DIRECTORY_HPP

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/runtime/snapshot.hpp>
#include <unordered_map>
#include <vector>

namespace tamarackhoist::policy
{

/// Load and health of each upstream, as an entry node knows them from the
/// replies of the owners. Thread-safe: the set of upstreams is replaced by
/// read-copy-update and each record consists of atomics.
class replica_directory
{
public:
    /// Number of priority classes with separate records. Classes beyond it
    /// share the last record.
    static constexpr std::size_t max_classes = 8;

    replica_directory();

    /// Creates records for new upstreams of the deployment, keeps those that
    /// exist and removes the records of all other upstreams.
    void set_deployment(const deployment& configuration);

    /// Records that an attempt was sent.
    void on_attempt_sent(upstream_id target);

    /// Records that an attempt ended or is no longer awaited.
    void on_attempt_ended(upstream_id target);

    /// Records the load that a reply publishes, and its outcome.
    void on_reply(const sub_reply& reply, runtime::time_point now);

    /// Records an attempt that was cancelled without a reply after `elapsed`,
    /// as when another attempt was answered first.
    void on_no_reply(upstream_id target, runtime::duration elapsed,
                     runtime::time_point now);

    /// Records the start or end of a drain that a node or the VM list
    /// announced.
    void set_draining(upstream_id target, bool is_draining);

    /// Returns the highest version that at least one replica of every shard
    /// serves, ignoring shards without a known version, or 0 when no version
    /// is known.
    [[nodiscard]] index_version
    common_version(std::span<const shard> shards) const;

    /// Criteria for the choice of a replica.
    struct selection {
        std::span<const upstream_id> replicas;
        /// Replicas that must not be chosen.
        std::span<const upstream_id> excluded;
        /// Replica that refused the last attempt as busy. It is chosen only
        /// when the others have a much higher cost.
        std::optional<upstream_id> busy_replica;
        index_version version = 0;
        class_index rank = 0;
        runtime::time_point now;
    };

    /// Returns a random replica, weighted towards low expected latency, or
    /// nothing when all are excluded or unknown.
    ///
    /// Replicas that drain, that are suspect or that lack the version are
    /// avoided, unless all candidates are such: then all are considered.
    [[nodiscard]] std::optional<upstream_id>
    choose(const selection& criteria, std::mt19937_64& random) const;

    /// Returns the expected time until `target` starts a new request of
    /// class `rank`. The reported delay decays with its age.
    [[nodiscard]] runtime::duration queue_delay(upstream_id target,
                                                class_index rank,
                                                runtime::time_point now) const;

    /// Returns the index versions that `target` last reported.
    [[nodiscard]] version_span versions(upstream_id target) const;

private:
    struct record {
        std::array<std::atomic<std::int64_t>, max_classes> queue_delay{};
        std::atomic<std::int64_t> service_time{0};
        std::atomic<std::int64_t> last_update_at{0};
        std::atomic<std::int32_t> outstanding{0};
        std::atomic<std::uint32_t> slots{1};
        std::atomic<std::uint32_t> failures{0};
        /// Slow attempts since the last answer that were cancelled because
        /// another replica answered first.
        std::atomic<std::uint32_t> lost_races{0};
        std::atomic<index_version> version_low{0};
        std::atomic<index_version> version_high{0};
        std::atomic<bool> is_draining{false};
    };
    using table = std::unordered_map<upstream_id, std::shared_ptr<record>>;

    [[nodiscard]] record* find(upstream_id target) const;
    [[nodiscard]] static double age_weight(const record& entry,
                                           runtime::time_point now);
    [[nodiscard]] static double cost(const record& entry, class_index rank,
                                     runtime::time_point now);

    runtime::snapshot<table> records_;
};

} // namespace tamarackhoist::policy

#endif
