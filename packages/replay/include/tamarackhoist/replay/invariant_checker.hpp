#ifndef TAMARACKHOIST_REPLAY_INVARIANT_CHECKER_HPP
#define TAMARACKHOIST_REPLAY_INVARIANT_CHECKER_HPP

#include <cstdint>
#include <string>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/query.hpp>
#include <vector>

namespace tamarackhoist::replay
{

/// Number of keys of each shard at which the fake upstreams store an item.
constexpr policy::key keys_per_shard = 4;

/// Records what callers were answered and what upstreams ran, and checks the
/// guarantees of the gateway tier against it. It sees only what is observable
/// from outside the tier.
class invariant_checker
{
public:
    /// `grid_step` is the distance between two neighbouring keys with an item.
    explicit invariant_checker(policy::key grid_step);

    /// Adds a request of a caller and returns its request number.
    std::size_t add_request(policy::class_index rank, bool is_order,
                            runtime::time_point arrived_at,
                            runtime::time_point deadline,
                            const policy::key_range_set& requested_ranges);

    /// Records that an upstream started to run the part of request
    /// `request_number` whose range starts at `begin`.
    void record_execution(std::size_t request_number, policy::key begin);

    /// Records a request that arrived at a draining upstream after its grace
    /// period.
    void record_late_drain_work() { ++drain_late_work_; }

    /// Records the number of open connections of an upstream; the greatest
    /// excess over a limit is kept.
    void record_connection_count(std::uint32_t open, std::uint32_t limit);

    void record_answer(std::size_t request_number,
                       const policy::query_answer& answer,
                       runtime::time_point now);
    void record_outcome(std::size_t request_number,
                        const policy::order_outcome& outcome,
                        runtime::time_point now);

    struct request {
        policy::class_index rank = 0;
        bool is_order = false;
        runtime::time_point arrived_at;
        runtime::time_point deadline;
        policy::key_range_set requested_ranges;
        bool is_answered = false;
        policy::query_status query_status = policy::query_status::failed;
        policy::order_status order_status = policy::order_status::unknown;
        runtime::time_point answered_at;
        /// Fraction of the requested key space that was answered, 0 to 1.
        double coverage = 0;
        std::uint32_t run_count = 0;
        /// First keys of the parts that upstreams started to run.
        std::vector<policy::key> started_parts;
    };
    [[nodiscard]] const std::vector<request>& requests() const
    {
        return requests_;
    }

    /// Number of violations of each guarantee.
    struct violations {
        /// Answers with items of several index versions.
        std::uint64_t mixed_versions = 0;
        /// Answers whose ranges or items do not match what was requested, and
        /// orders that were reported as run but never ran.
        std::uint64_t coverage_wrong = 0;
        /// Answers with items of another request.
        std::uint64_t foreign_items = 0;
        /// Requests that were reported as not run but ran.
        std::uint64_t refused_but_run = 0;
        /// Orders that ran more than once.
        std::uint64_t doubled = 0;
        /// Requests sent to a draining upstream after its grace period.
        std::uint64_t drain_late_work = 0;
        /// Greatest excess of open connections over an upstream's limit.
        std::uint64_t connections_over_limit = 0;

        [[nodiscard]] std::uint64_t total() const;
    };
    /// Counts the violated guarantees of the whole run. Call it at the end of
    /// the run, since a request that was reported as not run may still be run
    /// later.
    [[nodiscard]] violations find_violations() const;

    /// Returns how many parts of requests upstreams started to run.
    [[nodiscard]] std::uint64_t executions() const { return executions_; }
    /// Returns how many of the executions repeated a part that had already
    /// been started: retries and hedges.
    [[nodiscard]] std::uint64_t repeated_executions() const
    {
        return repeated_executions_;
    }

    /// Returns the value that an upstream with index version `version` returns
    /// for every item of request `request_number`.
    [[nodiscard]] static std::string item_value(std::size_t request_number,
                                                policy::index_version version);

private:
    void check_answer(const request& each, std::size_t request_number,
                      const policy::query_answer& answer);

    const policy::key grid_step_;
    std::vector<request> requests_;
    std::uint64_t executions_ = 0;
    std::uint64_t repeated_executions_ = 0;
    std::uint64_t mixed_versions_ = 0;
    std::uint64_t coverage_wrong_ = 0;
    std::uint64_t foreign_items_ = 0;
    std::uint64_t drain_late_work_ = 0;
    std::uint64_t connections_over_limit_ = 0;
};

} // namespace tamarackhoist::replay

#endif
