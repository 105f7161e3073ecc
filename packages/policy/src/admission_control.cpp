#include <tamarackhoist/policy/admission_control.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

constexpr runtime::duration interval = std::chrono::milliseconds(100);
/// Part of the finished queries that may be congested without a decrease.
constexpr double tolerated_congestion = 0.1;
/// Congested queries of an interval that may be the work of one slow replica:
/// a node that serves few queries of a class sees two in an interval.
constexpr double max_stray_congestion = 1;
constexpr double largest_decrease = 0.5;
constexpr double smallest_decrease = 0.95;
constexpr double increase = 1.05;
/// Increase once several intervals in a row saw no congestion at all, as
/// after an outage: the limit then lags behind what can be served.
constexpr double calm_increase = 1.25;
constexpr std::uint32_t calm_interval_count = 3;
/// Part of the best known rate up to which the limit rises faster.
constexpr double known_fraction = 0.9;
/// Decay of the best known rate per interval.
constexpr double best_rate_decay = 0.999;
/// Queries per second that are always admitted, so that the state of an
/// overloaded index is still observed.
constexpr double min_rate = 2;
/// Seconds of admitted queries that may start at once.
constexpr double burst_seconds = 0.05;
/// The limit is lifted when the offered rate falls below this part of it.
constexpr double idle_fraction = 0.7;
/// Weight of the newest interval in the smoothed rate of answers.
constexpr double smoothing = 0.3;

} // namespace

bool admission_control::try_admit(runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    close_interval(now);
    ++counts_.offered;
    if (limit_) {
        const auto elapsed = runtime::to_seconds(now - refilled_at_);
        const auto capacity = std::max(1.0, *limit_ * burst_seconds);
        tokens_ = std::min(capacity, tokens_ + elapsed * *limit_);
        refilled_at_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
    }
    ++counts_.admitted;
    return true;
}

void admission_control::on_congestion(runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    close_interval(now);
    ++counts_.congested;
}

void admission_control::on_finished(bool has_results, runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    close_interval(now);
    ++counts_.finished;
    counts_.answered += has_results ? 1 : 0;
}

void admission_control::close_interval(runtime::time_point now)
{
    const auto elapsed = now - interval_start_;
    if (elapsed < interval) {
        return;
    }
    const auto seconds = runtime::to_seconds(elapsed);
    const auto closed = counts_;
    counts_ = {};
    interval_start_ = now;
    answered_rate_ += smoothing * (closed.answered / seconds - answered_rate_);
    best_rate_ = std::max(best_rate_ * best_rate_decay, answered_rate_);
    const bool is_congested =
        closed.congested >
        std::max(max_stray_congestion, tolerated_congestion * closed.finished);
    const auto offered_rate = closed.offered / seconds;
    if (is_congested) {
        calm_intervals_ = 0;
        const auto current = limit_.value_or(closed.admitted / seconds);
        const auto wanted =
            std::clamp(answered_rate_ * smallest_decrease,
                       current * largest_decrease, current * smallest_decrease);
        if (!limit_) {
            tokens_ = 0;
            refilled_at_ = now;
        }
        limit_ = std::max(min_rate, wanted);
        return;
    }
    if (!limit_) {
        return;
    }
    if (offered_rate < *limit_ * idle_fraction) {
        limit_.reset();
        return;
    }
    calm_intervals_ = closed.congested == 0 ? calm_intervals_ + 1 : 0;
    const bool lags = calm_intervals_ >= calm_interval_count &&
                      *limit_ < known_fraction * best_rate_;
    *limit_ *= lags ? calm_increase : increase;
}

std::optional<double> admission_control::limit() const
{
    const std::lock_guard guard(mutex_);
    return limit_;
}

} // namespace tamarackhoist::policy
