#include <tamarackhoist/policy/load_monitor.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// A greater lateness uses up most of the time budget of the most urgent
/// requests.
constexpr duration max_lateness = 30ms;
/// Consecutive late samples that indicate overload; fewer can result from a
/// pause of the process.
constexpr std::uint32_t min_consecutive_late = 3;
/// Back-off time after an overload. It doubles up to the maximum each time the
/// node is overloaded again soon afterwards.
constexpr duration initial_backoff = 2s;
constexpr duration max_backoff = 8s;
/// Time without overload after which the initial back-off is used again.
constexpr duration backoff_reset_interval = 10s;

} // namespace

void load_monitor::record_lateness(duration lateness, time_point now)
{
    lateness_ = lateness;
    consecutive_late_ = lateness > max_lateness ? consecutive_late_ + 1 : 0;
    if (consecutive_late_ < min_consecutive_late || is_overloaded(now)) {
        return;
    }
    consecutive_late_ = 0;
    const bool is_repeated = now - overloaded_until_ < backoff_reset_interval;
    backoff_ =
        is_repeated ? std::min(2 * backoff_, max_backoff) : initial_backoff;
    overloaded_until_ = now + backoff_;
}

} // namespace tamarackhoist::policy
