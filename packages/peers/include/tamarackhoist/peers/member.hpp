#ifndef TAMARACKHOIST_PEERS_MEMBER_HPP
#define TAMARACKHOIST_PEERS_MEMBER_HPP

#include <cstdint>
#include <string>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/transport/endpoint.hpp>

namespace tamarackhoist::peers
{

enum class member_state : std::uint8_t {
    alive,
    /// Failed a probe; treated as live until the suspicion times out.
    suspect,
    /// Announced that it accepts no new work.
    leaving,
    dead
};

/// Returns the name of `state` as shown to operators.
[[nodiscard]] const char* to_string(member_state state);

/// Gossip record of one node.
struct member {
    /// Unique within the fleet; the node's id is derived from it.
    std::string name;
    /// Address of the node's peer port, for both TCP and UDP.
    transport::endpoint endpoint;
    std::string failure_domain;
    std::string region;
    /// Start time of the process, in microseconds since the Unix epoch. A
    /// restarted process normally has a greater one.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    /// Incremented by the member itself to override a wrong state that others
    /// gossip about it.
    std::uint32_t refutation = 0;
    /// CPU that the node may use, in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;

    [[nodiscard]] policy::node_id id() const
    {
        return policy::node_id::from_name(name);
    }
    bool operator==(const member&) const = default;
};

/// Returns whether `left` is a newer record of the same member than `right`.
[[nodiscard]] bool supersedes(const member& left, const member& right);

} // namespace tamarackhoist::peers

#endif
