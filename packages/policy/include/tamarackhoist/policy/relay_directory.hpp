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

/// A live node that can pass on parts of a fan-out.
struct relay_node {
    node_id id;
    std::string failure_domain;
    /// Thousandths of a core.
    std::uint32_t capacity = 0;
};

/// Chooses the nodes through which upstreams are reached. One message to a
/// node near the upstreams replaces a message to each of them: fewer bytes
/// between failure domains, and fewer connections for each upstream. Within
/// the own failure domain it pays only if the other node is much faster.
class relay_directory
{
public:
    relay_directory(std::string failure_domain, std::uint32_t capacity,
                    std::uint64_t random_seed);

    /// Takes the live nodes without this one; keeps what is known of them.
    void set_nodes(std::span<const relay_node> nodes);

    /// Returns the node through which upstreams of `domain` are best
    /// reached, or nothing if this node should reach them itself.
    [[nodiscard]] std::optional<node_id> choose(std::string_view domain,
                                                std::size_t shards,
                                                runtime::time_point now);

    void call_started(node_id id, std::size_t shards);
    void call_ended(node_id id, std::size_t shards);
    void record_answer(node_id id, runtime::time_point now);
    /// The node was silent or its connection failed.
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
