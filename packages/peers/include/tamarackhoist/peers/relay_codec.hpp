#ifndef TAMARACKHOIST_PEERS_RELAY_CODEC_HPP
#define TAMARACKHOIST_PEERS_RELAY_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <vector>

/// Encoding of the calls by which nodes delegate parts of a fan-out to each
/// other. Decoders return nothing for malformed messages and, where the message
/// states its protocol version, for other versions.
namespace tamarackhoist::peers
{

/// One shard of a fan-out and the upstream that it is sent to.
struct relay_target {
    std::uint32_t shard = 0;
    std::string upstream;

    bool operator==(const relay_target&) const = default;
};

/// Part of a fan-out, to be sent to upstreams near the receiver.
struct relay_request {
    /// Incarnation of the sender's process.
    std::uint64_t sender = 0;
    /// Number of the call, unique within the sender's process.
    std::uint64_t call = 0;
    std::string request_id;
    /// Request line and header, without the fields that differ between
    /// upstreams.
    std::string head;
    std::string body;
    std::uint32_t priority = 0;
    /// Time until the deadline, counted from sending the request.
    runtime::duration remaining{};
    std::vector<relay_target> targets;
    /// Maximum number of records in each reply.
    std::size_t top_records = 0;
    /// Time for which answers are collected into the first reply; zero to reply
    /// to each answer separately.
    runtime::duration gather{};
};

/// Result of the attempt for one shard.
struct relay_part {
    std::uint32_t shard = 0;
    policy::attempt_result result = policy::attempt_result::broken;
    /// Digest that the upstream sent with its answer; empty without an answer.
    std::string digest;
    /// Time from the receipt of the call to the end of the attempt.
    runtime::duration elapsed{};
    /// What the upstream has said of itself, if it wants no requests.
    std::optional<policy::upstream_hold> hold = std::nullopt;

    bool operator==(const relay_part&) const = default;
};

/// Completed attempts, and the merged top records of those that were answered.
struct relay_reply {
    std::vector<relay_part> parts;
    std::string records;
    /// Time from the receipt of the call to this reply.
    runtime::duration sent_after{};
};

/// Cancels the attempts for some shards of a call.
struct relay_cancel {
    /// `sender` and `call` of the relay request.
    std::uint64_t sender = 0;
    std::uint64_t call = 0;
    std::vector<std::uint32_t> shards;
};

[[nodiscard]] std::string encode_relay_request(const relay_request& request);
[[nodiscard]] std::optional<relay_request>
decode_relay_request(std::string_view message);

[[nodiscard]] std::string encode_relay_reply(const relay_reply& reply);
[[nodiscard]] std::optional<relay_reply>
decode_relay_reply(std::string_view message);

[[nodiscard]] std::string encode_relay_cancel(const relay_cancel& cancel);
[[nodiscard]] std::optional<relay_cancel>
decode_relay_cancel(std::string_view message);

} // namespace tamarackhoist::peers

#endif
