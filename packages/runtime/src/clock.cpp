#include <tamarackhoist/runtime/clock.hpp>

#include <chrono>

#include <ctime>
#include <utility>

namespace tamarackhoist::runtime
{

clock::clock(now_hook now) : now_(std::move(now)) {}

clock clock::boot()
{
    return clock([] {
        timespec value{};
        clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    });
}

time_point clock::now() const
{
    return now_();
}

std::uint64_t microseconds_since_epoch()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(
        duration_cast<microseconds>(system_clock::now().time_since_epoch())
            .count());
}

} // namespace tamarackhoist::runtime
