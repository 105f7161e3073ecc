#ifndef TAMARACKHOIST_RUNTIME_PAUSED_CLOCK_HPP
#define TAMARACKHOIST_RUNTIME_PAUSED_CLOCK_HPP

#include <atomic>
#include <tamarackhoist/runtime/clock.hpp>

namespace tamarackhoist::runtime
{

/// Time that stands still until it is advanced. Must outlive the clocks that
/// it hands out.
class paused_clock
{
public:
    /// Returns a clock that reads this paused time.
    [[nodiscard]] clock view() const;

    [[nodiscard]] time_point now() const;

    /// Moves time forward by `step`, which is not negative.
    void advance(duration step);

    /// Moves time forward to `instant`. An earlier instant has no effect.
    void advance_to(time_point instant);

private:
    std::atomic<duration::rep> since_boot_{0};
};

} // namespace tamarackhoist::runtime

#endif
