#include <tamarackhoist/policy/concurrency_limit.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

constexpr double decrease_factor = 0.7;
/// Increase per success, in requests; a limit of 1 reaches 2 in 4 successes.
constexpr double increase_step = 0.25;

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
    limit_ = std::min(slots_, limit_ + increase_step / limit_);
}

void concurrency_limit::on_shed(runtime::time_point now)
{
    if (now - decreased_at_ < decrease_interval) {
        return;
    }
    decreased_at_ = now;
    limit_ = std::max(1.0, limit_ * decrease_factor);
}

void concurrency_limit::restart()
{
    limit_ = 1;
}

} // namespace tamarackhoist::policy
