#ifndef TAMARACKHOIST_POLICY_ADMISSION_CONTROL_HPP
#define TAMARACKHOIST_POLICY_ADMISSION_CONTROL_HPP

#include <cstdint>
#include <mutex>
#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Limits the rate at which an entry node starts queries of one class and
/// index.
///
/// A query needs every shard. If each owner shed requests on its own, the work
/// that some shards did for a query would be wasted when another shard sheds
/// it. Refusing whole queries at the entry node keeps the queues of the owners
/// short. The limit falls while queries report congestion and rises while they
/// do not. Thread-safe.
class admission_control
{
public:
    /// Returns whether a query may start at `now`.
    [[nodiscard]] bool try_admit(runtime::time_point now);

    /// Records that an admitted query saw congestion: an owner published a
    /// longer queue delay than the class allows, or a request was shed or
    /// refused for lack of time or queue space. Called at most once per query,
    /// as soon as congestion is seen.
    void on_congestion(runtime::time_point now);

    /// Records the end of an admitted query. `has_results` states whether it
    /// was answered at least in part.
    void on_finished(bool has_results, runtime::time_point now);

    /// Returns the limit in queries per second, or nothing when unlimited.
    [[nodiscard]] std::optional<double> limit() const;

private:
    struct interval_counts {
        std::uint32_t offered = 0;
        std::uint32_t admitted = 0;
        std::uint32_t finished = 0;
        std::uint32_t congested = 0;
        std::uint32_t answered = 0;
    };

    void close_interval(runtime::time_point now);

    mutable std::mutex mutex_;
    interval_counts counts_;
    runtime::time_point interval_start_;
    runtime::time_point refilled_at_;
    std::optional<double> limit_;
    double tokens_ = 0;
    double answer_rate_ = 0;
    /// Highest smoothed rate of answered queries of the last minutes, in
    /// queries per second.
    double peak_answer_rate_ = 0;
    std::uint32_t uncongested_intervals_ = 0;
};

} // namespace tamarackhoist::policy

#endif
