#ifndef TAMARACKHOIST_RUNTIME_CLOCK_HPP
#define TAMARACKHOIST_RUNTIME_CLOCK_HPP

#include <cstdint>
#include <functional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::runtime
{

/// Source of the current time. Copies share the same source.
class clock
{
public:
    using now_hook = std::function<time_point()>;

    explicit clock(now_hook now);

    /// Returns a clock that reads CLOCK_BOOTTIME.
    [[nodiscard]] static clock boot();

    [[nodiscard]] time_point now() const;

private:
    now_hook now_;
};

/// Returns the system time in microseconds since the Unix epoch. It may jump,
/// so use it only to distinguish incarnations of a process.
[[nodiscard]] std::uint64_t microseconds_since_epoch();

} // namespace tamarackhoist::runtime

#endif
