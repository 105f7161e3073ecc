#ifndef TAMARACKHOIST_POLICY_LAPSE_DETECTOR_HPP
#define TAMARACKHOIST_POLICY_LAPSE_DETECTOR_HPP

#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Detects that the store may have been away for so long that registrations of
/// live upstreams lapsed. It judges by the time between two confirmations of
/// what this node knows, whichever node had them from the store. A failed call
/// proves less: the store may have answered all others.
class lapse_detector
{
public:
    /// Shortest absence of the store in which registrations lapse. Upstreams
    /// renew them every 1.2 s, and the store removes those that are 3.6 s old.
    static constexpr runtime::duration min_absence =
        std::chrono::milliseconds(2400);

    /// Records that the store confirmed at `confirmed_at` what this node knows
    /// from now on. Returns whether registrations may have lapsed since the
    /// confirmation before, which is so as well if there was none.
    [[nodiscard]] bool record_confirmation(runtime::time_point confirmed_at);

    [[nodiscard]] std::optional<runtime::time_point> last_confirmed_at() const
    {
        return last_confirmed_at_;
    }

private:
    std::optional<runtime::time_point> last_confirmed_at_;
};

} // namespace tamarackhoist::policy

#endif
