#ifndef TAMARACKHOIST_POLICY_LAPSE_DETECTOR_HPP
#define TAMARACKHOIST_POLICY_LAPSE_DETECTOR_HPP

#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Detects that the store may have been away for so long that registrations of
/// live upstreams lapsed. It judges by the time between two confirmations of
/// what this node knows, whichever node had them from the store.
///
/// Upstreams renew their registrations every 1.2 s, and the store removes those
/// that are 3.6 s old.
class lapse_detector
{
public:
    /// Shortest absence of the store in which two renewals in a row always
    /// fail. A hand-over of reading takes less time.
    static constexpr runtime::duration min_absence =
        std::chrono::milliseconds(2400);
    /// The same if a call of this node has failed: two renewals in a row can
    /// fail in less time. More than the time between two confirmations that a
    /// peer passes on, a watch and its answer.
    static constexpr runtime::duration min_absence_after_failure =
        std::chrono::milliseconds(1500);

    /// Returns whether registrations may have lapsed between the last
    /// confirmation and `confirmed_at`; also if there was none before.
    /// `has_call_failed` states whether the last call of this node to the store
    /// before `confirmed_at` had no answer.
    [[nodiscard]] bool may_have_lapsed(runtime::time_point confirmed_at,
                                       bool has_call_failed) const;

    /// Records that the store confirmed at `confirmed_at` what this node knows.
    void record_confirmation(runtime::time_point confirmed_at);

    [[nodiscard]] std::optional<runtime::time_point> last_confirmed_at() const
    {
        return last_confirmed_at_;
    }

private:
    std::optional<runtime::time_point> last_confirmed_at_;
};

} // namespace tamarackhoist::policy

#endif
