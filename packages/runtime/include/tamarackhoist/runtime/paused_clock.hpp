#ifndef TAMARACKHOIST_RUNTIME_PAUSED_CLOCK_HPP
#define TAMARACKHOIST_RUNTIME_PAUSED_CLOCK_HPP

#include <atomic>
#include <tamarackhoist/runtime/clock.hpp>

namespace tamarackhoist::runtime
{

/// Manually advanced time source for tests and simulations. Starts at zero.
/// Must outlive the clocks that `view` returns.
class paused_clock
{
public:
    /// Returns a clock that reads this time source.
    [[nodiscard]] clock view() const;

    [[nodiscard]] time_point now() const;

    /// Advances the time by `step`, which must not be negative.
    void advance(duration step);

    /// Advances the time to `instant`. An earlier instant has no effect.
    void advance_to(time_point instant);

private:
    std::atomic<duration::rep> since_boot_{0};
};

} // namespace tamarackhoist::runtime

#endif
