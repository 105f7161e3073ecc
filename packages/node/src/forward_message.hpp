#ifndef TAMARACKHOIST_NODE_FORWARD_MESSAGE_HPP
#define TAMARACKHOIST_NODE_FORWARD_MESSAGE_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/callers/forward_exchange.hpp>
#include <tamarackhoist/node/forward_fields.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <tamarackhoist/transport/http_message.hpp>
#include <tamarackhoist/upstreams/forward_pool.hpp>
#include <vector>

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

/// What every copy of a request shares.
struct request_parts {
    std::string_view head;
    std::string_view body;
    std::string_view request_id;
    bool is_head = false;
};

/// Returns the copy of a request for one upstream.
[[nodiscard]] upstreams::forward_request
make_forward_request(const request_parts& request,
                     const std::string& upstream_id, runtime::duration left,
                     const forward_fields& fields);

/// Tells how an exchange with an upstream ends its attempt.
[[nodiscard]] policy::attempt_result
classify(const upstreams::forward_result& result, const forward_fields& fields,
         bool is_fan_out);

/// Returns an upstream's answer as it is passed on.
[[nodiscard]] callers::forward_answer
make_answer(const transport::http_response& response);

/// Digests and records of the shards that are in.
struct merged_parts {
    std::vector<std::string_view> digests;
    std::vector<std::string_view> records;
};

/// Returns the merged answer of a fan-out.
[[nodiscard]] callers::forward_answer
make_merged_answer(const merged_parts& parts, std::size_t missing,
                   std::size_t top_records, const forward_fields& fields);

} // namespace tamarackhoist::node

#endif
