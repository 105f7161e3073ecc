#include <tamarackhoist/runtime/paused_clock.hpp>

#include <cassert>

namespace tamarackhoist::runtime
{

clock paused_clock::view() const
{
    return clock([this] { return now(); });
}

time_point paused_clock::now() const
{
    return time_point(duration(since_boot_.load(std::memory_order_acquire)));
}

void paused_clock::advance(duration step)
{
    assert(step.count() >= 0);
    since_boot_.fetch_add(step.count(), std::memory_order_acq_rel);
}

void paused_clock::advance_to(time_point instant)
{
    if (instant <= now()) {
        return;
    }
    since_boot_.store(instant.time_since_epoch().count(),
                      std::memory_order_release);
}

} // namespace tamarackhoist::runtime
