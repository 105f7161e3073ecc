#ifndef TAMARACKHOIST_PEERS_GOSSIP_MESSAGE_HPP
#define TAMARACKHOIST_PEERS_GOSSIP_MESSAGE_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <tamarackhoist/peers/member.hpp>
#include <vector>

namespace tamarackhoist::peers
{

/// Version of every message between nodes. A node refuses others.
constexpr std::uint32_t protocol_version = 1;

enum class gossip_kind : std::uint8_t {
    ping,
    ack,
    /// Asks the receiver to ping `subject`.
    ping_request,
    /// Passes on the ack of `subject`.
    relayed_ack
};

/// Summary of a node's document; equal summaries mean equal documents.
struct digest_summary {
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    bool operator==(const digest_summary&) const = default;
};

/// News that an upstream drains or serves again.
struct drain_update {
    policy::upstream_id upstream;
    bool is_draining = false;
    /// Microseconds since the epoch at the node that saw the change.
    std::uint64_t stamp = 0;
    bool operator==(const drain_update&) const = default;
};

/// One datagram between two nodes.
struct gossip_message {
    gossip_kind kind = gossip_kind::ping;
    std::uint64_t sequence = 0;
    member sender;
    /// Member to probe in a ping request; in a ping, what the sender
    /// believes about the receiver, when it is not that it is alive.
    std::optional<member> subject;
    std::vector<member> updates;
    digest_summary digest;
    std::vector<drain_update> drains;
};

/// Largest datagram, below the smallest usual path MTU.
constexpr std::size_t max_datagram_bytes = 1200;

/// Encodes a message. Updates that do not fit are left out.
[[nodiscard]] std::string encode_gossip(const gossip_message& message);

/// Encodes all members, for an exchange over a connection.
[[nodiscard]] std::string encode_members(std::span<const member> members);
[[nodiscard]] std::optional<std::vector<member>>
decode_members(std::string_view message);

/// Decodes a datagram; returns nothing for malformed ones and for other
/// protocol versions.
[[nodiscard]] std::optional<gossip_message>
decode_gossip(std::string_view datagram);

} // namespace tamarackhoist::peers

#endif
