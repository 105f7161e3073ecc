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

/// Encoding of the calls between nodes. Decoders return nothing for
/// malformed messages and for other protocol versions.
namespace tamarackhoist::peers
{

/// Encodes sub-requests of one query; deadlines travel as the time that
/// remains at `now`.
[[nodiscard]] std::string
encode_sub_requests(std::span<const policy::sub_request> requests,
                    runtime::time_point now);
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

/// An order that is passed to the node that issued its ticket.
struct forwarded_order {
    policy::order_ticket ticket;
    std::string service;
    policy::key position = 0;
    policy::class_index rank = 0;
    runtime::duration remaining{};
    std::string body;
};
[[nodiscard]] std::string encode_order(const forwarded_order& order);
[[nodiscard]] std::optional<forwarded_order>
decode_order(std::string_view message);

[[nodiscard]] std::string encode_outcome(const policy::order_outcome& outcome);
[[nodiscard]] std::optional<policy::order_outcome>
decode_outcome(std::string_view message);

/// One section as nodes pass it on.
struct shared_section {
    std::string title;
    std::string source;
    std::uint64_t revision = 0;
    std::string text;
    bool is_removed = false;
};

struct document_request {
    std::uint64_t after_revision = 0;
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
