#include <tamarackhoist/policy/shutdown_schedule.hpp>

namespace tamarackhoist::policy
{

using runtime::duration;
using namespace std::chrono_literals;

namespace
{

/// Time after SIGTERM in which the load balancer may still open connections:
/// it checks readiness once a second and removes a node after two failures.
constexpr duration balancer_lag = 2500ms;
/// The process ends this long before it would be killed.
constexpr duration end_margin = 300ms;
/// Time for the last answers to be written before the process ends.
constexpr duration answer_flush_time = 150ms;
/// Upstreams have this fraction of the grace period to answer the last requests
/// that were sent to them.
constexpr int answer_time_divisor = 4;

} // namespace

shutdown_phase shutdown_schedule::phase_at(duration elapsed) const
{
    const auto end = grace_ - end_margin;
    if (elapsed >= end) {
        return shutdown_phase::over;
    }
    if (elapsed >= end - answer_flush_time) {
        return shutdown_phase::ending_requests;
    }
    if (elapsed >= grace_ - grace_ / answer_time_divisor) {
        return shutdown_phase::awaiting_answers;
    }
    return elapsed >= balancer_lag ? shutdown_phase::forwarding
                                   : shutdown_phase::accepting;
}

} // namespace tamarackhoist::policy
