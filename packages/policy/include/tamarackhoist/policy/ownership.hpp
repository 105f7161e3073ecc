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

/// A live node, as one node believes it.
struct node_view {
    node_id id;
    std::string failure_domain;
    /// A leaving node owns nothing.
    bool is_leaving = false;
};

/// Assigns each upstream to one node by rendezvous hashing.
///
/// Candidates are the live nodes of the upstream's own failure domain, or
/// all live nodes when that domain has none. The upstreams of one index are
/// hashed in groups, so that a query over many shards reaches few owners.
class ownership
{
public:
    /// Upstreams of one index and failure domain per group.
    static constexpr std::size_t group_size = 7;

    ownership() = default;
    ownership(const deployment& described, std::span<const node_view> nodes);

    /// Returns the owner, or nothing for an unknown upstream or no nodes.
    [[nodiscard]] std::optional<node_id> owner_of(upstream_id target) const;

    /// Returns every upstream that `node` owns.
    [[nodiscard]] std::vector<upstream_id> owned_by(node_id node) const;

private:
    std::unordered_map<upstream_id, node_id> owners_;
};

/// Connections that one owner may open to `described`. Even
/// `max_simultaneous_owners` nodes that all believe to own the upstream stay
/// within its connection limit.
[[nodiscard]] std::uint32_t owner_connections(const upstream& described);

/// Nodes that may believe at once to own one upstream.
constexpr std::uint32_t max_simultaneous_owners = 6;

} // namespace tamarackhoist::policy

#endif
