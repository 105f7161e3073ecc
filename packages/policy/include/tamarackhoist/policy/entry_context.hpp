#ifndef TAMARACKHOIST_POLICY_ENTRY_CONTEXT_HPP
#define TAMARACKHOIST_POLICY_ENTRY_CONTEXT_HPP

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <tamarackhoist/policy/admission_control.hpp>
#include <tamarackhoist/policy/attempt_budget.hpp>
#include <tamarackhoist/policy/latency_window.hpp>
#include <tamarackhoist/policy/replica_directory.hpp>

namespace tamarackhoist::policy
{

/// Budgets for the extra attempts of one priority class.
struct class_budgets {
    /// Hedges per first attempt.
    static constexpr double hedge_fraction = 0.05;
    /// Hedges and retries together per first attempt.
    static constexpr double extra_fraction = 0.10;
    /// Maximum unspent extra attempts.
    static constexpr std::uint32_t capacity = 64;

    attempt_budget hedges{hedge_fraction, capacity};
    attempt_budget extra_attempts{extra_fraction, capacity};
};

/// State that all queries and orders of one entry node share. Thread-safe.
class entry_context
{
public:
    /// `origin` identifies this incarnation of the node.
    explicit entry_context(std::uint64_t origin);

    [[nodiscard]] replica_directory& directory() { return directory_; }
    [[nodiscard]] class_budgets& budgets(class_index rank);
    /// The reference stays valid for the lifetime of the context.
    [[nodiscard]] admission_control& admission(const std::string& index,
                                               class_index rank);

    /// Returns a new, unique attempt identifier.
    [[nodiscard]] request_id next_request_id();

    /// Records the latencies of the answered attempts of one query.
    void record_latencies(const std::string& index, class_index rank,
                          std::span<const runtime::duration> latencies,
                          runtime::time_point now);

    /// Returns the time after which an unanswered attempt is hedged.
    [[nodiscard]] runtime::duration hedge_delay(const std::string& index,
                                                class_index rank);

private:
    struct index_state {
        /// Tail latency, which few attempts exceed when all replicas are
        /// healthy.
        latency_window latency{0.97, std::chrono::seconds(2)};
        latency_window median_latency{0.5, std::chrono::seconds(2)};
        admission_control admission;
    };

    index_state& find_or_create(const std::string& index, class_index rank);

    const std::uint64_t origin_;
    std::atomic<std::uint64_t> next_serial_{1};
    replica_directory directory_;
    std::array<class_budgets, replica_directory::max_classes> budgets_;
    std::mutex mutex_;
    std::map<std::pair<std::string, class_index>, index_state> states_;
};

} // namespace tamarackhoist::policy

#endif
