#include <tamarackhoist/policy/entry_context.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

/// Upper bound of the hedge delay, as a multiple of the median latency.
constexpr int max_hedge_delay_in_medians = 3;
constexpr runtime::duration min_hedge_delay = std::chrono::milliseconds(2);
/// Hedge delay until latencies are known. Long enough that a cold start does
/// not trigger hedges, but a fault does.
constexpr runtime::duration initial_hedge_delay = std::chrono::milliseconds(50);

} // namespace

entry_context::entry_context(std::uint64_t origin) : origin_(origin) {}

class_budgets& entry_context::budgets(class_index rank)
{
    return budgets_[std::min(rank, budgets_.size() - 1)];
}

entry_context::index_state&
entry_context::find_or_create(const std::string& index, class_index rank)
{
    return states_[{index, rank}];
}

admission_control& entry_context::admission(const std::string& index,
                                            class_index rank)
{
    // References to map entries stay valid, since entries are never erased.
    const std::lock_guard guard(mutex_);
    return find_or_create(index, rank).admission;
}

request_id entry_context::next_request_id()
{
    return {origin_, next_serial_.fetch_add(1, std::memory_order_relaxed)};
}

void entry_context::record_latencies(
    const std::string& index, class_index rank,
    std::span<const runtime::duration> latencies, runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    auto& state = find_or_create(index, rank);
    for (const auto latency : latencies) {
        state.latency.add(latency, now);
        state.median_latency.add(latency, now);
    }
}

runtime::duration entry_context::hedge_delay(const std::string& index,
                                             class_index rank)
{
    const std::lock_guard guard(mutex_);
    const auto& state = find_or_create(index, rank);
    const auto tail = state.latency.quantile();
    const auto median = state.median_latency.quantile();
    if (!tail || !median) {
        return initial_hedge_delay;
    }
    // A slow replica raises the tail latency but not the median. Without the
    // bound by the median, hedges would be as late as the slow replica's
    // answers.
    return std::max(min_hedge_delay,
                    std::min(*tail, max_hedge_delay_in_medians * *median));
}

} // namespace tamarackhoist::policy
