#include <tamarackhoist/policy/upstream_health.hpp>

#include <algorithm>
#include <cmath>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// Weight of one latency sample in the moving average.
constexpr double sample_weight = 0.2;
/// Upper bound of one sample, so that a single pause does not outweigh a
/// series of normal answers.
constexpr double max_latency_ratio = 12.0;
/// Time in seconds in which the deviation from the typical latency halves
/// without samples.
constexpr double recovery_half_life_s = 2.0;
/// Weight of one outcome in the failure rate.
constexpr double outcome_weight = 0.3;
/// Time in seconds in which the failure rate halves without requests. Long
/// enough for nodes that send an upstream less than one request per second.
constexpr double failure_half_life_s = 4.0;
constexpr duration initial_avoidance_time = 200ms;
constexpr duration max_avoidance_time = 3200ms;
constexpr std::uint32_t max_doublings = 4;
constexpr duration refusal_avoidance_time = 50ms;

} // namespace

void upstream_health::add_sample(double latency_ratio, time_point now)
{
    const auto previous = slowness(now);
    slowness_ =
        previous +
        sample_weight * (std::min(latency_ratio, max_latency_ratio) - previous);
    last_sample_at_ = now;
}

void upstream_health::add_outcome(bool is_failure, time_point now)
{
    const auto previous = failure_rate(now);
    const auto target = is_failure ? 1.0 : 0.0;
    failure_rate_ = previous + outcome_weight * (target - previous);
    last_outcome_at_ = now;
}

double upstream_health::failure_rate(time_point now) const
{
    const auto idle_s = runtime::to_seconds(now - last_outcome_at_);
    return failure_rate_ * std::exp2(-idle_s / failure_half_life_s);
}

void upstream_health::record_success(duration latency, duration typical,
                                     time_point now)
{
    consecutive_failures_ = 0;
    suspect_until_ = {};
    add_outcome(false, now);
    if (typical > duration::zero()) {
        add_sample(runtime::to_seconds(latency) / runtime::to_seconds(typical),
                   now);
    }
}

void upstream_health::record_slow(duration elapsed, duration typical,
                                  time_point now)
{
    if (typical <= duration::zero() || elapsed <= typical) {
        return;
    }
    add_sample(runtime::to_seconds(elapsed) / runtime::to_seconds(typical),
               now);
}

void upstream_health::record_failure(time_point now)
{
    add_outcome(true, now);
    const auto doublings = std::min(consecutive_failures_, max_doublings);
    const auto avoidance_time = std::min(
        max_avoidance_time, initial_avoidance_time * (1U << doublings));
    suspect_until_ = std::max(suspect_until_, now + avoidance_time);
    ++consecutive_failures_;
}

void upstream_health::record_refusal(time_point now)
{
    add_outcome(true, now);
    suspect_until_ = std::max(suspect_until_, now + refusal_avoidance_time);
}

double upstream_health::slowness(time_point now) const
{
    const auto idle_s = runtime::to_seconds(now - last_sample_at_);
    return 1.0 + (slowness_ - 1.0) * std::exp2(-idle_s / recovery_half_life_s);
}

} // namespace tamarackhoist::policy
