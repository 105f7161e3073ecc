#include <tamarackhoist/operators/metrics.hpp>

#include <array>
#include <sstream>

namespace tamarackhoist::operators
{

namespace acc = boost::accumulators;

namespace
{

constexpr std::array summary_quantiles{0.5, 0.9, 0.99, 0.999};

void render_sample(std::ostringstream& text, const series& key,
                   std::string_view suffix, std::string_view extra_label,
                   double value)
{
    text << key.name << suffix;
    const bool has_both = !key.labels.empty() && !extra_label.empty();
    if (!key.labels.empty() || !extra_label.empty()) {
        text << '{' << key.labels << (has_both ? "," : "") << extra_label
             << '}';
    }
    text << ' ' << value << '\n';
}

/// Writes the TYPE comment when `name` begins a new metric.
void render_type_comment(std::ostringstream& text, std::string& last_name,
                         const std::string& name, std::string_view type)
{
    if (last_name == name) {
        return;
    }
    last_name = name;
    text << "# TYPE " << name << ' ' << type << '\n';
}

} // namespace

void metrics::count(const series& key, std::uint64_t amount)
{
    const std::lock_guard guard(mutex_);
    counters_[key] += amount;
}

void metrics::set(const series& key, double value)
{
    const std::lock_guard guard(mutex_);
    gauges_[key] = value;
}

void metrics::observe(const series& key, runtime::duration latency)
{
    const std::lock_guard guard(mutex_);
    auto found = summaries_.find(key);
    if (found == summaries_.end()) {
        found =
            summaries_
                .emplace(key,
                         latency_summary(acc::extended_p_square_probabilities =
                                             summary_quantiles))
                .first;
    }
    found->second(runtime::to_seconds(latency));
}

std::uint64_t metrics::counter(const series& key) const
{
    const std::lock_guard guard(mutex_);
    const auto found = counters_.find(key);
    return found == counters_.end() ? 0 : found->second;
}

std::string metrics::render() const
{
    const std::lock_guard guard(mutex_);
    std::ostringstream text;
    std::string last_name;
    for (const auto& [key, value] : counters_) {
        render_type_comment(text, last_name, key.name, "counter");
        render_sample(text, key, "", "", static_cast<double>(value));
    }
    for (const auto& [key, value] : gauges_) {
        render_type_comment(text, last_name, key.name, "gauge");
        render_sample(text, key, "", "", value);
    }
    for (const auto& [key, summary] : summaries_) {
        render_type_comment(text, last_name, key.name, "summary");
        for (const auto probability : summary_quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << probability << '"';
            render_sample(text, key, "", label.str(),
                          acc::quantile(summary, acc::quantile_probability =
                                                     probability));
        }
        const auto count = static_cast<double>(acc::count(summary));
        render_sample(text, key, "_sum", "", acc::mean(summary) * count);
        render_sample(text, key, "_count", "", count);
    }
    return text.str();
}

} // namespace tamarackhoist::operators
