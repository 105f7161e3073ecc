#ifndef TAMARACKHOIST_CALLERS_CALLER_WIRE_HPP
#define TAMARACKHOIST_CALLERS_CALLER_WIRE_HPP

#include <optional>
#include <string>
#include <tamarackhoist/policy/key_range_set.hpp>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/query.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/transport/http_message.hpp>

/// The API for callers. This module alone knows the wire format, which
/// docs/design/caller-api.md describes.
namespace tamarackhoist::callers
{

constexpr auto query_path = "/v1/query";
constexpr auto ticket_path = "/v1/tickets";
constexpr auto order_path = "/v1/orders";
constexpr auto ready_path = "/ready";

/// Header fields common to all requests of callers.
struct caller_context {
    std::string caller;
    std::string request_id;
    /// Time limit that the caller asked for, to shorten the one of its class.
    std::optional<runtime::duration> deadline;
};

struct caller_query {
    caller_context context;
    std::string index;
    /// The whole key space if the request names no ranges.
    policy::key_range_set ranges;
    /// JSON text, empty if absent.
    std::string body;
};

struct caller_ticket_request {
    caller_context context;
    std::string service;
};

struct caller_order {
    caller_context context;
    /// Value of the header field Idempotency-Key, not validated.
    std::string ticket;
    std::string service;
    /// Key that the order concerns, 0 if absent.
    policy::key position = 0;
    /// JSON text, empty if absent.
    std::string body;
};

/// The decoders return the decoded request, or the reason why it is malformed.
[[nodiscard]] runtime::result<caller_query, std::string>
decode_query(const transport::http_request& request);
[[nodiscard]] runtime::result<caller_ticket_request, std::string>
decode_ticket_request(const transport::http_request& request);
[[nodiscard]] runtime::result<caller_order, std::string>
decode_order(const transport::http_request& request);

[[nodiscard]] transport::http_response
encode_answer(const caller_context& context,
              const policy::query_answer& answer);
[[nodiscard]] transport::http_response
encode_ticket(const caller_context& context,
              const policy::order_ticket& ticket);
[[nodiscard]] transport::http_response
encode_outcome(const caller_context& context,
               const policy::order_outcome& outcome);

/// Encodes the refusal of a request that was not executed.
[[nodiscard]] transport::http_response
encode_not_run(boost::beast::http::status status, std::string_view reason);

} // namespace tamarackhoist::callers

#endif
