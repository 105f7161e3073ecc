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
    /// Did not answer probes; counts as live until the suspicion expires.
    suspect,
    /// Announced that it takes no new work.
    leaving,
    dead
};

/// Returns the name of `state` as shown to operators.
[[nodiscard]] const char* to_string(member_state state);

/// One node, as it is described in gossip.
struct member {
    std::string name;
    /// Address of the node's peer port, for both TCP and UDP.
    transport::endpoint where;
    std::string failure_domain;
    std::string region;
    /// Start of the process, in microseconds since the epoch. A replaced
    /// process has a greater one.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    /// Raised by the member itself to contradict a wrong belief about it.
    std::uint32_t refutation = 0;
    /// Thousandths of a core that the node may use; 0 if it did not say.
    std::uint32_t capacity = 0;

    [[nodiscard]] policy::node_id id() const
    {
        return policy::node_id::from_name(name);
    }
    bool operator==(const member&) const = default;
};

/// Returns whether `left` is newer knowledge about the same member.
[[nodiscard]] bool supersedes(const member& left, const member& right);

} // namespace tamarackhoist::peers

#endif
