#ifndef TAMARACKHOIST_OPERATORS_METRICS_HPP
#define TAMARACKHOIST_OPERATORS_METRICS_HPP

#include <sstream>
// Must come before the Boost.Accumulators headers, which use streams without
// including <sstream>.
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::operators
{

/// Name and label set of one series, such as
/// `tamarackhoist_queries_total{class="urgent",outcome="complete"}`.
struct series {
    std::string name;
    /// Labels in the Prometheus text format, without the braces; may be empty.
    std::string labels;
    auto operator<=>(const series&) const = default;
};

/// Counters, gauges and latency summaries of one node. Thread-safe.
class metrics
{
public:
    /// Adds `amount` to a counter.
    void count(const series& key, std::uint64_t amount = 1);
    /// Sets a gauge.
    void set(const series& key, double value);
    /// Adds an observation to a latency summary, which is exported in seconds.
    void observe(const series& key, runtime::duration latency);

    /// Renders every series in the text exposition format of Prometheus.
    [[nodiscard]] std::string render() const;

    /// Returns the value of a counter, or 0 when it was never incremented.
    [[nodiscard]] std::uint64_t counter(const series& key) const;

private:
    using latency_summary = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::extended_p_square_quantile>>;

    mutable std::mutex mutex_;
    std::map<series, std::uint64_t> counters_;
    std::map<series, double> gauges_;
    std::map<series, latency_summary> summaries_;
};

} // namespace tamarackhoist::operators

#endif
