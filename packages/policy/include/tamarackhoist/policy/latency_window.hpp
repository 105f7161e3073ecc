#ifndef TAMARACKHOIST_POLICY_LATENCY_WINDOW_HPP
#define TAMARACKHOIST_POLICY_LATENCY_WINDOW_HPP

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <optional>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Estimates one quantile of recent latencies. The estimate of each period
/// replaces that of the period before, so old samples expire. Not thread-safe.
class latency_window
{
public:
    /// Minimum number of samples for an estimate.
    static constexpr std::size_t min_samples = 20;

    /// `probability` selects the quantile and must be in (0, 1). Samples count
    /// for one to two `period`s.
    latency_window(double probability, runtime::duration period);

    void add(runtime::duration latency, runtime::time_point now);

    /// Returns the estimate, or nothing until there are enough samples.
    [[nodiscard]] std::optional<runtime::duration> quantile() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::count,
                    boost::accumulators::tag::p_square_quantile>>;

    [[nodiscard]] accumulator make_accumulator() const;

    const double probability_;
    const runtime::duration period_;
    runtime::time_point rotated_at_;
    accumulator current_;
    std::optional<runtime::duration> previous_;
};

} // namespace tamarackhoist::policy

#endif
