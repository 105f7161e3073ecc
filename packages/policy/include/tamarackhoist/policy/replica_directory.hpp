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

/// What an entry node has learned about each upstream from the replies of
/// its owners. Thread-safe: the set of upstreams is replaced by
/// read-copy-update and each record consists of atomics.
class replica_directory
{
public:
    /// Priority classes that are told apart; further ones share the last.
    static constexpr std::size_t max_classes = 8;

    replica_directory();

    /// Keeps records for the upstreams of `described` and drops others.
    void set_deployment(const deployment& described);

    /// Records that an attempt was sent.
    void on_sent(upstream_id target);

    /// Records that an attempt ended or is no longer awaited.
    void on_settled(upstream_id target);

    /// Records the published load and the outcome of a reply.
    void on_reply(const sub_reply& reply, runtime::time_point now);

    /// Records an attempt whose reply never arrived after `elapsed`.
    void on_silence(upstream_id target, runtime::duration elapsed,
                    runtime::time_point now);

    /// Records a drain announced by a node or by the VM list.
    void set_draining(upstream_id target, bool is_draining);

    /// Returns the highest version that every shard is known to serve by at
    /// least one replica, or 0 when none is known.
    [[nodiscard]] index_version
    common_version(std::span<const shard> shards) const;

    /// What a replica must fulfil to be chosen.
    struct selection {
        std::span<const upstream_id> replicas;
        /// Upstreams that were tried already.
        std::span<const upstream_id> excluded;
        /// Replica that was busy a moment ago; it is chosen only where the
        /// others cost much more.
        std::optional<upstream_id> busy;
        index_version version = 0;
        class_index rank = 0;
        runtime::time_point now;
    };

    /// Returns the replica to ask, or nothing when all are excluded.
    ///
    /// Replicas that drain, that are suspect or that lack the version are
    /// avoided. Where every candidate is suspect, the signal is doubted and
    /// all of them are considered.
    [[nodiscard]] std::optional<upstream_id>
    choose(const selection& wanted, std::mt19937_64& random) const;

    /// Returns the expected time until `target` starts a new request of
    /// class `rank`. What was learned long ago counts less.
    [[nodiscard]] runtime::duration queue_delay(upstream_id target,
                                                class_index rank,
                                                runtime::time_point now) const;

    [[nodiscard]] version_span versions(upstream_id target) const;

private:
    struct record {
        std::array<std::atomic<std::int64_t>, max_classes> queue_delay{};
        std::atomic<std::int64_t> service_time{0};
        std::atomic<std::int64_t> updated_at{0};
        std::atomic<std::int32_t> outstanding{0};
        std::atomic<std::uint32_t> slots{1};
        std::atomic<std::uint32_t> failures{0};
        std::atomic<std::uint32_t> lost_races{0};
        std::atomic<index_version> version_low{0};
        std::atomic<index_version> version_high{0};
        std::atomic<bool> is_draining{false};
    };
    using table = std::unordered_map<upstream_id, std::shared_ptr<record>>;

    [[nodiscard]] record* find(upstream_id target) const;
    [[nodiscard]] static double freshness(const record& each,
                                          runtime::time_point now);
    [[nodiscard]] static double cost(const record& each, class_index rank,
                                     runtime::time_point now);

    runtime::snapshot<table> records_;
};

} // namespace tamarackhoist::policy

#endif
