#include <tamarackhoist/policy/relay_directory.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::policy
{

using runtime::time_point;

namespace
{

/// Within the own failure domain, a node must be this much faster to be
/// worth the message.
constexpr std::uint32_t min_speed_up = 2;
/// Spreads calls among equal nodes.
constexpr double tie_spread = 0.3;
/// Assumed for nodes that did not state their capacity.
constexpr std::uint32_t default_capacity = 100;

std::uint32_t capacity_of(std::uint32_t stated)
{
    return stated == 0 ? default_capacity : stated;
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
    for (const auto& each : nodes) {
        present.insert(each.id);
        nodes_[each.id].node = each;
    }
    std::erase_if(nodes_, [&](const auto& each) {
        return !present.contains(each.first);
    });
}

std::optional<node_id> relay_directory::choose(std::string_view domain,
                                               std::size_t shards,
                                               time_point now)
{
    std::uniform_real_distribution<double> spread(1.0, 1.0 + tie_spread);
    const bool is_own_domain = domain == failure_domain_;
    const tracked_node* best = nullptr;
    double best_load = 0.0;
    for (const auto& [id, each] : nodes_) {
        if (each.node.failure_domain != domain || each.health.is_suspect(now)) {
            continue;
        }
        const auto capacity = capacity_of(each.node.capacity);
        if (is_own_domain && capacity < min_speed_up * capacity_of(capacity_)) {
            continue;
        }
        const auto load = spread(random_) *
                          static_cast<double>(each.open_shards + shards) /
                          capacity;
        if (best == nullptr || load < best_load) {
            best = &each;
            best_load = load;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return best->node.id;
}

void relay_directory::call_started(node_id id, std::size_t shards)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        found->second.open_shards += shards;
    }
}

void relay_directory::call_ended(node_id id, std::size_t shards)
{
    const auto found = nodes_.find(id);
    if (found != nodes_.end()) {
        auto& open = found->second.open_shards;
        open -= std::min(open, shards);
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
