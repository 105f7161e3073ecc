#include <tamarackhoist/policy/admission_control.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

constexpr runtime::duration measuring_interval = std::chrono::milliseconds(100);
/// Fraction of the finished queries of an interval that may be congested
/// without a decrease of the limit.
constexpr double max_congested_fraction = 0.1;
/// Number of congested queries of an interval that one slow replica may cause.
/// It matters on a node that serves about two queries of a class per interval,
/// where a single one would exceed `max_congested_fraction`.
constexpr double max_isolated_congestion = 1;
constexpr double min_decrease_factor = 0.5;
constexpr double max_decrease_factor = 0.95;
constexpr double increase_factor = 1.05;
/// Increase after several consecutive intervals without any congestion, as
/// after an outage, when the limit is far below what can be served.
constexpr double fast_increase_factor = 1.25;
constexpr std::uint32_t min_uncongested_intervals = 3;
/// Fraction of the peak answer rate up to which the limit rises faster.
constexpr double fast_increase_fraction = 0.9;
/// Decay of the peak answer rate per interval.
constexpr double peak_rate_decay = 0.999;
/// Minimum limit in queries per second, so that some queries still probe an
/// overloaded index.
constexpr double min_rate = 2;
/// Capacity of the token bucket, in seconds of the limit.
constexpr double burst_duration_s = 0.05;
/// The limit is removed when the offered rate falls below this fraction of
/// it.
constexpr double idle_fraction = 0.7;
/// Weight of the newest interval in the smoothed answer rate.
constexpr double smoothing_weight = 0.3;

} // namespace

bool admission_control::try_admit(runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    close_interval(now);
    ++counts_.offered;
    if (limit_) {
        const auto elapsed = runtime::to_seconds(now - refilled_at_);
        const auto capacity = std::max(1.0, *limit_ * burst_duration_s);
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
    if (elapsed < measuring_interval) {
        return;
    }
    const auto seconds = runtime::to_seconds(elapsed);
    const auto closed = counts_;
    counts_ = {};
    interval_start_ = now;
    answer_rate_ +=
        smoothing_weight * (closed.answered / seconds - answer_rate_);
    peak_answer_rate_ =
        std::max(peak_answer_rate_ * peak_rate_decay, answer_rate_);
    const bool is_congested =
        closed.congested > std::max(max_isolated_congestion,
                                    max_congested_fraction * closed.finished);
    const auto offered_rate = closed.offered / seconds;
    if (is_congested) {
        uncongested_intervals_ = 0;
        const auto current = limit_.value_or(closed.admitted / seconds);
        const auto target = std::clamp(answer_rate_ * max_decrease_factor,
                                       current * min_decrease_factor,
                                       current * max_decrease_factor);
        if (!limit_) {
            tokens_ = 0;
            refilled_at_ = now;
        }
        limit_ = std::max(min_rate, target);
        return;
    }
    if (!limit_) {
        return;
    }
    if (offered_rate < *limit_ * idle_fraction) {
        limit_.reset();
        return;
    }
    uncongested_intervals_ =
        closed.congested == 0 ? uncongested_intervals_ + 1 : 0;
    const bool is_far_below_peak =
        uncongested_intervals_ >= min_uncongested_intervals &&
        *limit_ < fast_increase_fraction * peak_answer_rate_;
    *limit_ *= is_far_below_peak ? fast_increase_factor : increase_factor;
}

std::optional<double> admission_control::limit() const
{
    const std::lock_guard guard(mutex_);
    return limit_;
}

} // namespace tamarackhoist::policy
