#ifndef TAMARACKHOIST_REPLAY_INVARIANT_CHECKER_HPP
#define TAMARACKHOIST_REPLAY_INVARIANT_CHECKER_HPP

#include <cstdint>
#include <string>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/query.hpp>
#include <vector>

namespace tamarackhoist::replay
{

/// Keys at which the fake upstreams hold an item: `grid` per shard.
constexpr policy::key keys_per_shard = 4;

/// Everything that the promises are checked against, seen from outside the
/// tier: what callers were told, and what upstreams ran.
class invariant_checker
{
public:
    /// `grid_step` is the distance between two keys that hold an item.
    explicit invariant_checker(policy::key grid_step);

    /// Adds one request of a caller and returns its number.
    std::size_t add_request(policy::class_index rank, bool is_order,
                            runtime::time_point arrived_at,
                            runtime::time_point deadline,
                            const policy::key_range_set& asked);

    /// Records that an upstream started to run a part of request `number`.
    void on_run(std::size_t number, policy::key begin);

    /// Records work that a leaving upstream got too late.
    void on_late_drain_work() { ++drain_late_work_; }

    /// Records the greatest number of connections seen beyond a limit.
    void on_connections(std::uint32_t open, std::uint32_t limit);

    void on_answer(std::size_t number, const policy::query_answer& answer,
                   runtime::time_point now);
    void on_outcome(std::size_t number, const policy::order_outcome& told,
                    runtime::time_point now);

    struct request {
        policy::class_index rank = 0;
        bool is_order = false;
        runtime::time_point arrived_at;
        runtime::time_point deadline;
        policy::key_range_set asked;
        bool is_answered = false;
        policy::query_status status = policy::query_status::failed;
        policy::order_status told = policy::order_status::unknown;
        runtime::time_point answered_at;
        double coverage = 0;
        std::uint32_t runs = 0;
        /// Parts that upstreams received, by their first key.
        std::vector<policy::key> parts;
    };
    [[nodiscard]] const std::vector<request>& requests() const
    {
        return requests_;
    }

    struct violations {
        std::uint64_t mixed_versions = 0;
        std::uint64_t coverage_wrong = 0;
        std::uint64_t foreign_items = 0;
        std::uint64_t refused_but_run = 0;
        std::uint64_t doubled = 0;
        std::uint64_t drain_late_work = 0;
        std::uint64_t connections_over_limit = 0;

        [[nodiscard]] std::uint64_t total() const;
    };
    /// Returns the broken promises of the whole run. Requests that are
    /// refused now and run later count, so this is called at the end.
    [[nodiscard]] violations check() const;

    [[nodiscard]] std::uint64_t received() const { return received_; }
    [[nodiscard]] std::uint64_t received_again() const
    {
        return received_again_;
    }

    /// Value of the item at any key, for a request and a version.
    [[nodiscard]] static std::string item_value(std::size_t number,
                                                policy::index_version version);

private:
    void check_items(const request& each, std::size_t number,
                     const policy::query_answer& answer);

    const policy::key grid_step_;
    std::vector<request> requests_;
    std::uint64_t received_ = 0;
    std::uint64_t received_again_ = 0;
    std::uint64_t mixed_versions_ = 0;
    std::uint64_t coverage_wrong_ = 0;
    std::uint64_t foreign_items_ = 0;
    std::uint64_t drain_late_work_ = 0;
    std::uint64_t connections_over_limit_ = 0;
};

} // namespace tamarackhoist::replay

#endif
