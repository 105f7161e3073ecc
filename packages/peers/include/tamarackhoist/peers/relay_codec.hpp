#ifndef TAMARACKHOIST_PEERS_RELAY_CODEC_HPP
#define TAMARACKHOIST_PEERS_RELAY_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <vector>

/// Encoding of the calls by which nodes pass on parts of a fan-out. Decoders
/// return nothing for malformed messages and for other protocol versions.
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
    /// Incarnation of the sender's process, and its number of the call.
    std::uint64_t sender = 0;
    std::uint64_t call = 0;
    std::string request_id;
    /// Request line and header, without the fields set for each upstream.
    std::string head;
    std::string body;
    std::uint32_t priority = 0;
    /// Time until the deadline, counted from sending.
    runtime::duration remaining{};
    std::vector<relay_target> targets;
    std::size_t top_records = 0;
    /// Time in which answers are gathered into the first reply; zero for a
    /// reply for each answer.
    runtime::duration gather{};
};

/// How the attempt of one shard ended.
struct relay_part {
    std::uint32_t shard = 0;
    policy::attempt_result result = policy::attempt_result::broken;
    /// Proof of the answer; empty if there was none.
    std::string digest;
    /// Time from the receipt of the call to the end of the attempt.
    runtime::duration elapsed{};

    bool operator==(const relay_part&) const = default;
};

/// Ended attempts, and the greatest records of those that answered.
struct relay_reply {
    std::vector<relay_part> parts;
    std::string records;
    /// Time from the receipt of the call to this reply.
    runtime::duration sent_after{};
};

/// Gives up shards of a call.
struct relay_cancel {
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
