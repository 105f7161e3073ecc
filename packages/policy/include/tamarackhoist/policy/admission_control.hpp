#ifndef TAMARACKHOIST_POLICY_ADMISSION_CONTROL_HPP
#define TAMARACKHOIST_POLICY_ADMISSION_CONTROL_HPP

#include <cstdint>
#include <mutex>
#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Limits how many queries of one class and index an entry node starts.
///
/// A query needs every shard, so when each owner drops its own choice of
/// requests, work that was done for a query is wasted wherever another shard
/// drops it. Refusing whole queries at the entry keeps the queues short. The
/// rate falls while queries report congestion and rises while they do not.
/// Thread-safe.
class admission_control
{
public:
    /// Returns whether a query may start at `now`.
    [[nodiscard]] bool try_admit(runtime::time_point now);

    /// Records that an admitted query met congestion: an owner published a
    /// longer queue than the class allows, or refused for lack of time.
    /// Called at most once per query, as soon as that is known.
    void on_congestion(runtime::time_point now);

    /// Records the end of an admitted query.
    void on_finished(bool has_results, runtime::time_point now);

    /// Returns the admitted queries per second, or nothing when unlimited.
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
    double answered_rate_ = 0;
    /// Greatest smoothed rate of answers of the last minutes.
    double best_rate_ = 0;
    std::uint32_t calm_intervals_ = 0;
};

} // namespace tamarackhoist::policy

#endif
