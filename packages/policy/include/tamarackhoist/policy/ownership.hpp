#ifndef TAMARACKHOIST_POLICY_OWNERSHIP_HPP
#define TAMARACKHOIST_POLICY_OWNERSHIP_HPP

#include <optional>
#include <span>
#include <string>
#include <tamarackhoist/policy/deployment.hpp>
#include <unordered_map>
#include <vector>

namespace tamarackhoist::policy
{

/// A live node, as the membership view of one node shows it.
struct node_view {
    node_id id;
    std::string failure_domain;
    /// A leaving node owns no upstreams.
    bool is_leaving = false;
};

/// Assigns each upstream to one node by rendezvous hashing.
///
/// Candidates are the live nodes of the upstream's own failure domain, or all
/// live nodes when that domain has none. The upstreams of one index are hashed
/// in groups, so that a query over many shards involves few owners.
class ownership
{
public:
    /// Number of upstreams of one index and failure domain in a group.
    static constexpr std::size_t group_size = 7;

    ownership() = default;
    ownership(const deployment& configuration,
              std::span<const node_view> nodes);

    /// Returns the owner, or nothing when the upstream is unknown or there
    /// are no live nodes.
    [[nodiscard]] std::optional<node_id> owner_of(upstream_id target) const;

    /// Returns every upstream that `node` owns, in ascending order.
    [[nodiscard]] std::vector<upstream_id> owned_by(node_id node) const;

private:
    std::unordered_map<upstream_id, node_id> owners_;
};

/// Returns the number of connections that one owner may open to the upstream.
/// If `max_simultaneous_owners` nodes consider themselves its owner at a time,
/// they stay within its connection limit together.
[[nodiscard]] std::uint32_t owner_connections(const upstream& target);

/// Maximum number of nodes that may consider themselves the owner of one
/// upstream at a time, as during a change of membership.
constexpr std::uint32_t max_simultaneous_owners = 6;

} // namespace tamarackhoist::policy

#endif
