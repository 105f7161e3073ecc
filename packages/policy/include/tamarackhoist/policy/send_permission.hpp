#ifndef TAMARACKHOIST_POLICY_SEND_PERMISSION_HPP
#define TAMARACKHOIST_POLICY_SEND_PERMISSION_HPP

#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Why an upstream must get no request of this node.
enum class hold_reason {
    /// The upstream takes requests.
    none,
    /// Its registration says that it drains.
    draining,
    /// It has said in an answer that it leaves.
    leaving,
    /// It has asked for a pause, or returns from one.
    paused,
    /// Its registration was removed, or another incarnation has replaced it.
    gone
};

/// Returns the name of `reason` for logs and metrics.
[[nodiscard]] const char* to_string(hold_reason reason);

/// Whether this node may send requests to an upstream.
struct send_permission {
    hold_reason reason = hold_reason::none;
    /// When the upstream may get a request, if that is known.
    std::optional<runtime::time_point> held_until = std::nullopt;

    [[nodiscard]] bool is_granted() const
    {
        return reason == hold_reason::none;
    }
};

} // namespace tamarackhoist::policy

#endif
