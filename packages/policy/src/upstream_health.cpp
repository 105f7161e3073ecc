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

/// Weight of one latency sample in the average.
constexpr double sample_weight = 0.2;
/// A single pause must not outweigh a run of ordinary answers.
constexpr double max_ratio = 12.0;
/// Time in which the distance to the typical latency halves without samples.
constexpr double recovery_half_life_s = 2.0;
/// Weight of one outcome in the failure rate.
constexpr double outcome_weight = 0.3;
/// Time in which the failure rate halves without outcomes: long enough for
/// nodes that send an upstream less than a request a second.
constexpr double failure_half_life_s = 4.0;
constexpr duration first_avoidance = 200ms;
constexpr duration longest_avoidance = 3200ms;
constexpr std::uint32_t max_doublings = 4;
constexpr duration refusal_avoidance = 50ms;

} // namespace

void upstream_health::add_sample(double ratio, time_point now)
{
    const auto current = slowness(now);
    slowness_ =
        current + sample_weight * (std::min(ratio, max_ratio) - current);
    sampled_at_ = now;
}

void upstream_health::add_outcome(bool is_failure, time_point now)
{
    const auto current = failure_rate(now);
    const auto target = is_failure ? 1.0 : 0.0;
    failure_rate_ = current + outcome_weight * (target - current);
    outcome_at_ = now;
}

double upstream_health::failure_rate(time_point now) const
{
    const auto idle_s = runtime::to_seconds(now - outcome_at_);
    return failure_rate_ * std::exp2(-idle_s / failure_half_life_s);
}

void upstream_health::record_success(duration latency, duration typical,
                                     time_point now)
{
    failures_in_row_ = 0;
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
    const auto doublings = std::min(failures_in_row_, max_doublings);
    const auto avoidance =
        std::min(longest_avoidance, first_avoidance * (1U << doublings));
    suspect_until_ = std::max(suspect_until_, now + avoidance);
    ++failures_in_row_;
}

void upstream_health::record_refusal(time_point now)
{
    add_outcome(true, now);
    suspect_until_ = std::max(suspect_until_, now + refusal_avoidance);
}

double upstream_health::slowness(time_point now) const
{
    const auto idle_s = runtime::to_seconds(now - sampled_at_);
    return 1.0 + (slowness_ - 1.0) * std::exp2(-idle_s / recovery_half_life_s);
}

} // namespace tamarackhoist::policy
