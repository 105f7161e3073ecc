#include <tamarackhoist/policy/extra_attempt_window.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::time_point;

double allowance_share(double fleet_allowance, std::size_t known_nodes,
                       std::size_t spare_nodes)
{
    return fleet_allowance / static_cast<double>(known_nodes + spare_nodes);
}

extra_attempt_window::extra_attempt_window(extra_attempt_limits limits,
                                           time_point started_at)
    : limits_(limits), started_at_(started_at),
      bucket_length_(limits.window / buckets_per_window)
{
}

void extra_attempt_window::advance(time_point now)
{
    const auto index = (now - started_at_) / bucket_length_;
    const auto steps =
        std::min<std::int64_t>(index - current_index_, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        auto& oldest =
            buckets_[static_cast<std::size_t>(index - step) % bucket_count];
        requests_ -= oldest.requests;
        extra_attempts_ -= oldest.extra_attempts;
        oldest = {};
    }
    current_index_ = std::max<std::int64_t>(current_index_, index);
}

void extra_attempt_window::record_request(time_point now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(current_index_) % bucket_count]
          .requests;
    ++requests_;
}

double extra_attempt_window::remaining(time_point now)
{
    advance(now);
    const auto age = runtime::to_seconds(now - started_at_) /
                     runtime::to_seconds(limits_.window);
    const auto allowance = limits_.allowance * std::min(1.0, age);
    return limits_.ratio * requests_ + allowance - extra_attempts_;
}

bool extra_attempt_window::try_acquire(time_point now)
{
    if (remaining(now) < 1.0) {
        return false;
    }
    ++buckets_[static_cast<std::size_t>(current_index_) % bucket_count]
          .extra_attempts;
    ++extra_attempts_;
    return true;
}

void extra_attempt_window::refund(time_point now)
{
    advance(now);
    auto& bucket =
        buckets_[static_cast<std::size_t>(current_index_) % bucket_count];
    if (bucket.extra_attempts == 0) {
        return;
    }
    --bucket.extra_attempts;
    --extra_attempts_;
}

} // namespace tamarackhoist::policy
