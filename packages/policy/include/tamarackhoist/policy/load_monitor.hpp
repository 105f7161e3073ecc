#ifndef TAMARACKHOIST_POLICY_LOAD_MONITOR_HPP
#define TAMARACKHOIST_POLICY_LOAD_MONITOR_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Tells from the lateness of a periodic timer whether this node is too slow
/// for its load, as when its VM is slowed down or is small. Such a node keeps
/// its callers waiting longer than urgent requests may take, so it leaves new
/// ones to others for a while. Free of I/O; not thread-safe.
class load_monitor
{
public:
    /// Takes how much later than planned the timer's handler ran.
    void record_lateness(runtime::duration lateness, runtime::time_point now);

    [[nodiscard]] bool is_overloaded(runtime::time_point now) const
    {
        return now < overloaded_until_;
    }

    [[nodiscard]] runtime::duration lateness() const { return lateness_; }

private:
    runtime::duration lateness_{};
    std::uint32_t late_in_row_ = 0;
    runtime::time_point overloaded_until_{};
    /// How long the node steps back the next time.
    runtime::duration step_back_{};
};

} // namespace tamarackhoist::policy

#endif
