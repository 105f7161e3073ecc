#include <tamarackhoist/policy/ownership.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Connections in excess of the slots, so that no slot is idle while a
/// connection is replaced.
constexpr std::uint32_t spare_connections = 2;

std::optional<node_id> choose_owner(std::uint64_t group_hash,
                                    std::span<const node_view> candidates)
{
    std::optional<node_id> best;
    std::uint64_t best_weight = 0;
    for (const auto& candidate : candidates) {
        const auto weight = hash_pair(group_hash, candidate.id.value);
        if (best && weight <= best_weight) {
            continue;
        }
        best = candidate.id;
        best_weight = weight;
    }
    return best;
}

/// Returns, for each upstream that holds a shard, the name of the group that
/// it is hashed with: that of its index, or of its service when the shard has
/// no index.
std::unordered_map<upstream_id, std::string>
group_names(const deployment& configuration)
{
    std::unordered_map<upstream_id, std::string> names;
    for (const auto& service : configuration.services()) {
        for (const auto& shard :
             configuration.shards_of_service(service.name)) {
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

ownership::ownership(const deployment& configuration,
                     std::span<const node_view> nodes)
{
    std::vector<node_view> live_nodes;
    std::map<std::string, std::vector<node_view>> live_nodes_by_domain;
    for (const auto& node : nodes) {
        if (node.is_leaving) {
            continue;
        }
        live_nodes.push_back(node);
        live_nodes_by_domain[node.failure_domain].push_back(node);
    }
    const auto names = group_names(configuration);
    // Upstreams are assigned to groups in the order of the document.
    std::map<std::pair<std::string, std::string>, std::size_t> positions;
    for (const auto& upstream : configuration.upstreams()) {
        const auto domain = live_nodes_by_domain.find(upstream.failure_domain);
        const auto& candidates =
            domain == live_nodes_by_domain.end() ? live_nodes : domain->second;
        const auto found_name = names.find(upstream.id);
        const auto& name =
            found_name == names.end() ? upstream.service : found_name->second;
        auto& position = positions[{name, upstream.failure_domain}];
        const auto group_hash =
            hash_pair(hash_text(name + '@' + upstream.failure_domain),
                      position / group_size);
        ++position;
        if (const auto owner = choose_owner(group_hash, candidates)) {
            owners_[upstream.id] = *owner;
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

std::uint32_t owner_connections(const upstream& target)
{
    const auto share = target.connections / max_simultaneous_owners;
    return std::max(1U, std::min(target.slots + spare_connections, share));
}

} // namespace tamarackhoist::policy
