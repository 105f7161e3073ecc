#include <tamarackhoist/policy/relay_directory.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::policy
{

using runtime::time_point;

namespace
{

/// Minimum capacity of a relay in the own failure domain relative to this node;
/// otherwise the additional message costs more than it saves.
constexpr std::uint32_t min_speed_up = 2;
/// Random factor that spreads calls among equal nodes.
constexpr double max_tie_break_jitter = 0.3;
/// Capacity assumed for nodes that report none, in thousandths of a core.
constexpr std::uint32_t default_capacity = 100;

std::uint32_t capacity_or_default(std::uint32_t reported)
{
    return reported == 0 ? default_capacity : reported;
}

} // namespace

relay_directory::relay_directory(std::string failure_domain,
                                 std::uint32_t capacity,
                                 std::uint64_t random_seed)
    : failure_domain_(std::move(failure_domain)), capacity_(capacity),
      random_(static_cast<std::minstd_rand::result_type>(random_seed))
{
}

void relay_directory::set_nodes(std::span<const relay_node> nodes)
{
    std::set<node_id> present;
    for (const auto& node : nodes) {
        present.insert(node.id);
        nodes_[node.id].node = node;
    }
    std::erase_if(nodes_, [&](const auto& entry) {
        return !present.contains(entry.first);
    });
}

std::optional<node_id> relay_directory::choose(std::string_view domain,
                                               std::size_t shards,
                                               time_point now)
{
    std::uniform_real_distribution<double> jitter(1.0,
                                                  1.0 + max_tie_break_jitter);
    const bool is_own_domain = domain == failure_domain_;
    const tracked_node* best = nullptr;
    double best_load = 0.0;
    for (const auto& [id, tracked] : nodes_) {
        if (tracked.node.failure_domain != domain ||
            tracked.health.is_suspect(now)) {
            continue;
        }
        const auto capacity = capacity_or_default(tracked.node.capacity);
        if (is_own_domain &&
            capacity < min_speed_up * capacity_or_default(capacity_)) {
            continue;
        }
        const auto load = jitter(random_) *
                          static_cast<double>(tracked.open_shards + shards) /
                          capacity;
        if (best == nullptr || load < best_load) {
            best = &tracked;
            best_load = load;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->node.id;
}

void relay_directory::record_call_start(node_id id, std::size_t shards)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        found->second.open_shards += shards;
    }
}

void relay_directory::record_call_end(node_id id, std::size_t shards)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        auto& open_shards = found->second.open_shards;
        open_shards -= std::min(open_shards, shards);
    }
}

void relay_directory::record_answer(node_id id, time_point now)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        found->second.health.record_success({}, {}, now);
    }
}

void relay_directory::record_failure(node_id id, time_point now)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        found->second.health.record_failure(now);
    }
}

} // namespace tamarackhoist::policy
