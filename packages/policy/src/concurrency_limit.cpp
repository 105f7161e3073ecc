#include <tamarackhoist/policy/concurrency_limit.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

constexpr double decrease_factor = 0.7;
/// Increase per success, in requests; a limit of 1 reaches 2 in 4 successes.
constexpr double increase_per_success = 0.25;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : slots_(std::max(slots, 1U)), limit_(slots_)
{
}

std::uint32_t concurrency_limit::allowed() const
{
    return static_cast<std::uint32_t>(limit_);
}

void concurrency_limit::on_success()
{
    limit_ = std::min(slots_, limit_ + increase_per_success / limit_);
}

void concurrency_limit::on_shed(runtime::time_point now)
{
    if (now - last_decrease_at_ < decrease_interval) {
        return;
    }
    last_decrease_at_ = now;
    limit_ = std::max(1.0, limit_ * decrease_factor);
}

void concurrency_limit::reset_to_minimum()
{
    limit_ = 1;
}

} // namespace tamarackhoist::policy
