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

/// Protocol version of the messages between nodes. Versioned messages with
/// another version are rejected.
constexpr std::uint32_t protocol_version = 1;

enum class gossip_kind : std::uint8_t {
    ping,
    ack,
    /// Asks the receiver to ping `subject` on the sender's behalf.
    ping_request,
    /// Tells the sender of a ping request that its subject answered.
    relayed_ack
};

/// Identifies the content of a node's configuration document. Equal summaries
/// mean equal documents.
struct digest_summary {
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    bool operator==(const digest_summary&) const = default;
};

/// Reports that an upstream started to drain or serves again.
struct drain_update {
    policy::upstream_id upstream;
    bool is_draining = false;
    /// Time at which a node observed the change, by that node's clock, in
    /// microseconds since the Unix epoch. The greatest stamp wins.
    std::uint64_t stamp = 0;
    bool operator==(const drain_update&) const = default;
};

/// Content of one gossip datagram.
struct gossip_message {
    gossip_kind kind = gossip_kind::ping;
    /// Matches an ack with its ping or ping request.
    std::uint64_t sequence = 0;
    member sender;
    /// In a ping request, the member to probe. In a ping, the sender's record
    /// of the receiver when that record is not alive, so that the receiver can
    /// refute it.
    std::optional<member> subject;
    /// Records of other members.
    std::vector<member> updates;
    digest_summary digest;
    std::vector<drain_update> drains;
};

/// Maximum datagram size, below the smallest common path MTU.
constexpr std::size_t max_datagram_bytes = 1200;

/// Encodes a message. Drains and updates that would exceed
/// `max_datagram_bytes` are left out.
[[nodiscard]] std::string encode_gossip(const gossip_message& message);

/// Encodes a full member list, which is exchanged over a connection.
[[nodiscard]] std::string encode_members(std::span<const member> members);

/// Returns nothing for malformed messages and other protocol versions.
[[nodiscard]] std::optional<std::vector<member>>
decode_members(std::string_view message);

/// Returns nothing for malformed or oversized datagrams and other protocol
/// versions.
[[nodiscard]] std::optional<gossip_message>
decode_gossip(std::string_view datagram);

} // namespace tamarackhoist::peers

#endif
