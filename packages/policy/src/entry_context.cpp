#include <tamarackhoist/policy/entry_context.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

/// Multiple of the median latency after which an attempt is hedged at the
/// latest.
constexpr int max_median_multiple = 3;
constexpr runtime::duration min_hedge_delay = std::chrono::milliseconds(2);
/// Delay until latencies are known: long enough that a hedge is an answer to
/// a fault rather than to a cold start.
constexpr runtime::duration initial_hedge_delay = std::chrono::milliseconds(50);

} // namespace

entry_context::entry_context(std::uint64_t origin) : origin_(origin) {}

class_budgets& entry_context::budgets(class_index rank)
{
    return budgets_[std::min(rank, budgets_.size() - 1)];
}

entry_context::index_state& entry_context::state_of(const std::string& index,
                                                    class_index rank)
{
    return states_[{index, rank}];
}

admission_control& entry_context::admission(const std::string& index,
                                            class_index rank)
{
    // References into the map stay valid, since entries are never erased.
    const std::lock_guard guard(mutex_);
    return state_of(index, rank).admission;
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
    auto& state = state_of(index, rank);
    for (const auto each : latencies) {
        state.latency.add(each, now);
        state.median_latency.add(each, now);
    }
}

runtime::duration entry_context::hedge_delay(const std::string& index,
                                             class_index rank)
{
    const std::lock_guard guard(mutex_);
    const auto& state = state_of(index, rank);
    const auto tail = state.latency.quantile();
    const auto median = state.median_latency.quantile();
    if (!tail || !median) {
        return initial_hedge_delay;
    }
    // While a replica is slow, its answers raise the tail, but not the
    // median; without the second bound, hedges would wait for the slow one.
    return std::max(min_hedge_delay,
                    std::min(*tail, max_median_multiple * *median));
}

} // namespace tamarackhoist::policy
