#ifndef TAMARACKHOIST_POLICY_UPSTREAM_PAUSE_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_PAUSE_HPP

#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// A pause that an upstream has asked for, and the careful return after it:
/// single trial requests until one of them is answered, in place of all that
/// waited for its end.
class upstream_pause
{
public:
    /// Records that the upstream wants no requests for `length`. Of several
    /// pauses the latest end counts. `spread`, from 0 to 1, lengthens the pause
    /// a little, so that nodes do not return in the same moment.
    void extend(runtime::duration length, double spread,
                runtime::time_point now);

    /// Records that a request was sent.
    void record_sent(runtime::time_point now);

    /// Records an answer without a pause. It ends the return if it answers a
    /// trial request.
    void record_answer(runtime::time_point now);

    /// Returns until when the upstream must get no request, or nothing if it
    /// may get one now.
    [[nodiscard]] std::optional<runtime::time_point>
    held_until(runtime::time_point now) const;

private:
    /// End of the latest pause while it lasts and during the return after it.
    std::optional<runtime::time_point> end_;
    /// Time of the next trial request, once one was sent.
    std::optional<runtime::time_point> next_trial_at_;
};

} // namespace tamarackhoist::policy

#endif
