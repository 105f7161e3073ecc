#include <tamarackhoist/policy/latency_window.hpp>

#include <cassert>

namespace tamarackhoist::policy
{

namespace acc = boost::accumulators;

latency_window::latency_window(double probability, runtime::duration period)
    : probability_(probability), period_(period), current_(make_accumulator())
{
    assert(probability > 0 && probability < 1);
}

latency_window::accumulator latency_window::make_accumulator() const
{
    return accumulator(acc::quantile_probability = probability_);
}

void latency_window::add(runtime::duration latency, runtime::time_point now)
{
    if (now - rotated_at_ >= period_) {
        if (acc::count(current_) >= min_samples) {
            previous_ = runtime::from_seconds(acc::p_square_quantile(current_));
        }
        current_ = make_accumulator();
        rotated_at_ = now;
    }
    current_(runtime::to_seconds(latency));
}

std::optional<runtime::duration> latency_window::quantile() const
{
    if (previous_) {
        return previous_;
    }
    if (acc::count(current_) < min_samples) {
        return std::nullopt;
    }
    return runtime::from_seconds(acc::p_square_quantile(current_));
}

} // namespace tamarackhoist::policy
