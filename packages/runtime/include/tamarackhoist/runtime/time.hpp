#ifndef TAMARACKHOIST_RUNTIME_TIME_HPP
#define TAMARACKHOIST_RUNTIME_TIME_HPP

#include <chrono>

/// Time types shared by every package.
namespace tamarackhoist::runtime
{

/// Clock tag for time since boot. Unlike CLOCK_MONOTONIC, it also advances
/// while the VM is suspended, so that deadlines expire during a suspension.
struct boot_time {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time>;
    static constexpr bool is_steady = true;
};

using duration = boot_time::duration;
using time_point = boot_time::time_point;

/// Converts a duration to fractional seconds.
[[nodiscard]] constexpr double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts a duration to fractional milliseconds.
[[nodiscard]] constexpr double to_milliseconds(duration value)
{
    return to_seconds(value) * 1e3;
}

/// Converts fractional seconds to a duration, rounded towards zero.
[[nodiscard]] constexpr duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

/// Returns `value`, or zero if it is negative.
[[nodiscard]] constexpr duration non_negative(duration value)
{
    return value < duration::zero() ? duration::zero() : value;
}

} // namespace tamarackhoist::runtime

#endif
