#include <tamarackhoist/runtime/clock.hpp>

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

} // namespace tamarackhoist::runtime
