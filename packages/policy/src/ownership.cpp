#include <tamarackhoist/policy/ownership.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Connections beyond the slots, so that a replaced connection does not
/// leave a slot idle.
constexpr std::uint32_t spare_connections = 2;

std::optional<node_id> highest_weight(std::uint64_t group,
                                      std::span<const node_view> candidates)
{
    std::optional<node_id> best;
    std::uint64_t best_weight = 0;
    for (const auto& each : candidates) {
        const auto weight = hash_pair(group, each.id.value);
        if (best && weight <= best_weight) {
            continue;
        }
        best = each.id;
        best_weight = weight;
    }
    return best;
}

/// Returns the index of each upstream that holds a shard of one.
std::unordered_map<upstream_id, std::string>
placement_names(const deployment& described)
{
    std::unordered_map<upstream_id, std::string> names;
    for (const auto& service : described.services()) {
        for (const auto& shard : described.shards_of_service(service.name)) {
            for (const auto replica : shard.replicas) {
                names.try_emplace(replica, shard.index.empty()
                                               ? shard.service
                                               : "index " + shard.index);
            }
        }
    }
    return names;
}

} // namespace

ownership::ownership(const deployment& described,
                     std::span<const node_view> nodes)
{
    std::vector<node_view> everywhere;
    std::map<std::string, std::vector<node_view>> by_domain;
    for (const auto& each : nodes) {
        if (each.is_leaving) {
            continue;
        }
        everywhere.push_back(each);
        by_domain[each.failure_domain].push_back(each);
    }
    const auto placements = placement_names(described);
    // Members of a group are numbered in the order of the document.
    std::map<std::pair<std::string, std::string>, std::size_t> positions;
    for (const auto& each : described.upstreams()) {
        const auto domain = by_domain.find(each.failure_domain);
        const auto& candidates =
            domain == by_domain.end() ? everywhere : domain->second;
        const auto placed = placements.find(each.id);
        const auto& name =
            placed == placements.end() ? each.service : placed->second;
        auto& position = positions[{name, each.failure_domain}];
        const auto group = hash_pair(
            hash_text(name + '@' + each.failure_domain), position / group_size);
        ++position;
        if (const auto owner = highest_weight(group, candidates)) {
            owners_[each.id] = *owner;
        }
    }
}

std::optional<node_id> ownership::owner_of(upstream_id target) const
{
    const auto found = owners_.find(target);
    if (found == owners_.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<upstream_id> ownership::owned_by(node_id node) const
{
    std::vector<upstream_id> owned;
    for (const auto& [target, owner] : owners_) {
        if (owner != node) {
            continue;
        }
        owned.push_back(target);
    }
    std::ranges::sort(owned);
    return owned;
}

std::uint32_t owner_connections(const upstream& described)
{
    const auto share = described.connections / max_simultaneous_owners;
    return std::max(1U, std::min(described.slots + spare_connections, share));
}

} // namespace tamarackhoist::policy
