#include <tamarackhoist/policy/extra_attempt_window.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::time_point;

extra_attempt_window::extra_attempt_window(extra_attempt_limits limits,
                                           time_point started_at)
    : limits_(limits), started_at_(started_at),
      bucket_length_(limits.window / buckets_in_window)
{
}

void extra_attempt_window::advance(time_point now)
{
    const auto index = (now - started_at_) / bucket_length_;
    const auto steps = std::min<std::int64_t>(index - current_, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step) {
        auto& oldest =
            buckets_[static_cast<std::size_t>(index - step) % bucket_count];
        requests_ -= oldest.requests;
        extras_ -= oldest.extras;
        oldest = {};
    }
    current_ = std::max<std::int64_t>(current_, index);
}

void extra_attempt_window::record_request(time_point now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(current_) % bucket_count].requests;
    ++requests_;
}

double extra_attempt_window::left(time_point now)
{
    advance(now);
    const auto age = runtime::to_seconds(now - started_at_) /
                     runtime::to_seconds(limits_.window);
    const auto allowance = limits_.allowance * std::min(1.0, age);
    return limits_.ratio * requests_ + allowance - extras_;
}

bool extra_attempt_window::try_take(time_point now)
{
    if (left(now) < 1.0) {
        return false;
    }
    ++buckets_[static_cast<std::size_t>(current_) % bucket_count].extras;
    ++extras_;
    return true;
}

void extra_attempt_window::give_back(time_point now)
{
    advance(now);
    auto& bucket = buckets_[static_cast<std::size_t>(current_) % bucket_count];
    if (bucket.extras == 0) {
        return;
    }
    --bucket.extras;
    --extras_;
}

} // namespace tamarackhoist::policy
