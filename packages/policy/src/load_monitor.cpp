#include <tamarackhoist/policy/load_monitor.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// Lateness that takes most of the time that the most urgent requests have.
constexpr duration max_lateness = 30ms;
/// Late samples in a row that a pause of the process does not explain.
constexpr std::uint32_t least_late_in_row = 3;
/// Time for which a node steps back; it doubles while the node is overloaded
/// again soon after.
constexpr duration first_step_back = 2s;
constexpr duration longest_step_back = 8s;
/// Time without overload after which the first step back is used again.
constexpr duration forgiveness = 10s;

} // namespace

void load_monitor::record_lateness(duration lateness, time_point now)
{
    lateness_ = lateness;
    late_in_row_ = lateness > max_lateness ? late_in_row_ + 1 : 0;
    if (late_in_row_ < least_late_in_row || is_overloaded(now)) {
        return;
    }
    late_in_row_ = 0;
    const bool is_relapse = now - overloaded_until_ < forgiveness;
    step_back_ = is_relapse ? std::min(2 * step_back_, longest_step_back)
                            : first_step_back;
    overloaded_until_ = now + step_back_;
}

} // namespace tamarackhoist::policy
