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

/// Conversion between the HTTP messages of callers and of upstreams.
namespace tamarackhoist::node
{

/// Returns the request line and the header fields that every copy of a
/// caller's request shares, without the fields that this node sets.
[[nodiscard]] std::string
make_request_head(const transport::http_request& request,
                  const forward_fields& fields);

/// Returns the time for which the caller will wait, or nothing if the request
/// does not state it or states it in a malformed field.
[[nodiscard]] std::optional<runtime::duration>
read_caller_timeout(const transport::http_request& request,
                    const forward_fields& fields);

/// The content that all copies of a request share.
struct request_content {
    std::string_view head;
    std::string_view body;
    std::string_view request_id;
    /// Whether the method is HEAD, so that the response has no body.
    bool is_head = false;
};

/// Returns the copy of a request for one upstream. `time_left` is the time
/// until the deadline, rounded up to milliseconds.
[[nodiscard]] upstreams::forward_request
make_forward_request(const request_content& request,
                     const std::string& upstream_id,
                     runtime::duration time_left, const forward_fields& fields);

/// Returns the result of an attempt from its exchange with the upstream.
[[nodiscard]] policy::attempt_result
classify(const upstreams::forward_result& result, const forward_fields& fields,
         bool is_fan_out);

/// Returns an upstream's response as an answer to the caller, without
/// hop-by-hop fields.
[[nodiscard]] callers::forward_answer
make_answer(const transport::http_response& response);

/// Digests and records of the shards that answered.
struct answer_parts {
    std::vector<std::string_view> digests;
    std::vector<std::string_view> records;
};

/// Returns the merged answer of a fan-out with `top_records` records at most.
/// `missing` is the number of shards without an answer.
[[nodiscard]] callers::forward_answer
make_merged_answer(const answer_parts& parts, std::size_t missing,
                   std::size_t top_records, const forward_fields& fields);

} // namespace tamarackhoist::node

#endif
