#ifndef TAMARACKHOIST_POLICY_LOAD_MONITOR_HPP
#define TAMARACKHOIST_POLICY_LOAD_MONITOR_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Detects from the lateness of a periodic timer that this node is too slow for
/// its load, for example because its VM is throttled or small. Such a node
/// keeps its callers waiting longer than urgent requests may take, so it leaves
/// new callers to other nodes during a back-off time. Performs no I/O; not
/// thread-safe.
class load_monitor
{
public:
    /// Records how much later than scheduled the timer's handler ran.
    void record_lateness(runtime::duration lateness, runtime::time_point now);

    /// Returns whether the back-off time after a detected overload is running.
    [[nodiscard]] bool is_overloaded(runtime::time_point now) const
    {
        return now < overloaded_until_;
    }

    /// Returns the lateness that was recorded last.
    [[nodiscard]] runtime::duration lateness() const { return lateness_; }

private:
    runtime::duration lateness_{};
    std::uint32_t consecutive_late_ = 0;
    runtime::time_point overloaded_until_{};
    /// Length of the latest back-off; zero before the first one.
    runtime::duration backoff_{};
};

} // namespace tamarackhoist::policy

#endif
