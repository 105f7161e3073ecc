#include <tamarackhoist/policy/upstream_pause.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// Largest addition to a pause, as a fraction of it and as a time.
constexpr double max_spread = 0.1;
constexpr duration max_spread_time = 300ms;
/// Time between trial requests that get no answer.
constexpr duration trial_interval = 250ms;

} // namespace

void upstream_pause::extend(duration length, double spread, time_point now)
{
    const auto addition = std::min(
        max_spread_time, runtime::from_seconds(runtime::to_seconds(length) *
                                               max_spread * spread));
    const auto end = now + length + addition;
    end_ = std::max(end_.value_or(end), end);
    next_trial_at_.reset();
}

void upstream_pause::record_sent(time_point now)
{
    if (end_ && now >= *end_) {
        next_trial_at_ = now + trial_interval;
    }
}

void upstream_pause::record_answer(time_point now)
{
    // Without a trial request, the answer is to a request from before the
    // pause.
    if (end_ && now >= *end_ && next_trial_at_) {
        end_.reset();
        next_trial_at_.reset();
    }
}

std::optional<time_point> upstream_pause::held_until(time_point now) const
{
    if (!end_) {
        return std::nullopt;
    }
    const auto until = std::max(*end_, next_trial_at_.value_or(*end_));
    return now < until ? std::optional(until) : std::nullopt;
}

} // namespace tamarackhoist::policy
