#ifndef TAMARACKHOIST_PEERS_PEER_CODEC_HPP
#define TAMARACKHOIST_PEERS_PEER_CODEC_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/sub_request.hpp>
#include <vector>

/// Encoding of the calls between nodes. Decoders return nothing for malformed
/// messages and, where the message states its protocol version, for other
/// versions.
namespace tamarackhoist::peers
{

/// Encodes sub-requests of one query. Clocks of nodes differ, so a deadline is
/// encoded as the time remaining at `now`.
[[nodiscard]] std::string
encode_sub_requests(std::span<const policy::sub_request> requests,
                    runtime::time_point now);
/// Counts the remaining times from `now`, the time of receipt.
[[nodiscard]] std::optional<std::vector<policy::sub_request>>
decode_sub_requests(std::string_view message, runtime::time_point now);

[[nodiscard]] std::string encode_sub_reply(const policy::sub_reply& reply);
[[nodiscard]] std::optional<policy::sub_reply>
decode_sub_reply(std::string_view message);

struct cancel_request {
    policy::request_id id;
    policy::upstream_id target;
};
[[nodiscard]] std::string encode_cancel(const cancel_request& request);
[[nodiscard]] std::optional<cancel_request>
decode_cancel(std::string_view message);

/// An order forwarded to the node that issued its ticket.
struct forwarded_order {
    policy::order_ticket ticket;
    std::string service;
    policy::key position = 0;
    policy::class_index rank = 0;
    /// Time until the deadline.
    runtime::duration remaining{};
    std::string body;
};
[[nodiscard]] std::string encode_order(const forwarded_order& order);
[[nodiscard]] std::optional<forwarded_order>
decode_order(std::string_view message);

[[nodiscard]] std::string encode_outcome(const policy::order_outcome& outcome);
[[nodiscard]] std::optional<policy::order_outcome>
decode_outcome(std::string_view message);

/// One section of the configuration document, as nodes exchange it.
struct shared_section {
    std::string title;
    std::string source;
    std::uint64_t revision = 0;
    std::string text;
    bool is_removed = false;
};

struct document_request {
    /// Only sections that changed after this revision are requested.
    std::uint64_t after_revision = 0;
    /// Requests all sections, whatever their revision.
    bool wants_all = false;
};
[[nodiscard]] std::string
encode_document_request(const document_request& request);
[[nodiscard]] std::optional<document_request>
decode_document_request(std::string_view message);

[[nodiscard]] std::string
encode_sections(std::span<const shared_section> sections);
[[nodiscard]] std::optional<std::vector<shared_section>>
decode_sections(std::string_view message);

} // namespace tamarackhoist::peers

#endif
