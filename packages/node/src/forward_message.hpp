#ifndef TAMARACKHOIST_NODE_FORWARD_MESSAGE_HPP
#define TAMARACKHOIST_NODE_FORWARD_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <tamarackhoist/callers/forward_exchange.hpp>
#include <tamarackhoist/node/forward_fields.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <tamarackhoist/transport/http_message.hpp>

/// Translation between callers' and upstreams' HTTP messages.
namespace tamarackhoist::node
{

/// Returns the request line and the header that a caller's request and every
/// copy of it share, without the fields that this node sets.
[[nodiscard]] std::string
make_request_head(const transport::http_request& request,
                  const forward_fields& fields);

/// Returns the time that the caller said it will wait, if it did.
[[nodiscard]] std::optional<runtime::duration>
read_time_left(const transport::http_request& request,
               const forward_fields& fields);

/// Tells how an upstream's answer ends its attempt.
[[nodiscard]] policy::attempt_result
classify(const transport::http_response& response, const forward_fields& fields,
         bool is_fan_out);

/// Returns an upstream's answer as it is passed on.
[[nodiscard]] callers::forward_answer
make_answer(const transport::http_response& response);

/// Returns the merged answer of the shards that are in.
[[nodiscard]] callers::forward_answer
make_merged_answer(std::span<const transport::http_response* const> parts,
                   std::size_t missing, std::size_t top_records,
                   const forward_fields& fields);

} // namespace tamarackhoist::node

#endif
