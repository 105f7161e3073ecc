#ifndef TAMARACKHOIST_POLICY_RELAY_DIRECTORY_HPP
#define TAMARACKHOIST_POLICY_RELAY_DIRECTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/policy/upstream_health.hpp>

namespace tamarackhoist::policy
{

/// A live node that can relay parts of a fan-out.
struct relay_node {
    node_id id;
    std::string failure_domain;
    /// CPU capacity in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
};

/// Chooses the nodes that relay requests to upstreams. One message to a node
/// near the upstreams replaces a message to each of them, which saves bytes
/// between failure domains and connections at each upstream. Within the own
/// failure domain a relay is used only if it is much faster than this node.
class relay_directory
{
public:
    relay_directory(std::string failure_domain, std::uint32_t capacity,
                    std::uint64_t random_seed);

    /// Replaces the list of live nodes, which excludes this node. The health
    /// and load of nodes that remain in the list are kept.
    void set_nodes(std::span<const relay_node> nodes);

    /// Returns the best relay for requests to `shards` shards in `domain`, or
    /// nothing if this node should send them itself.
    [[nodiscard]] std::optional<node_id> choose(std::string_view domain,
                                                std::size_t shards,
                                                runtime::time_point now);

    void record_call_start(node_id id, std::size_t shards);
    void record_call_end(node_id id, std::size_t shards);
    void record_answer(node_id id, runtime::time_point now);
    /// Records that the node did not answer or that its connection failed.
    void record_failure(node_id id, runtime::time_point now);

private:
    struct tracked_node {
        relay_node node;
        upstream_health health;
        std::size_t open_shards = 0;
    };

    const std::string failure_domain_;
    const std::uint32_t capacity_;
    std::minstd_rand random_;
    std::map<node_id, tracked_node> nodes_;
};

} // namespace tamarackhoist::policy

#endif
