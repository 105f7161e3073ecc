#ifndef TAMARACKHOIST_UPSTREAMS_UPSTREAM_WIRE_HPP
#define TAMARACKHOIST_UPSTREAMS_UPSTREAM_WIRE_HPP

#include <string>
#include <string_view>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/transport/http_message.hpp>

/// The protocol between the tier and its upstreams. Every detail of its wire
/// format is in this module; docs/design/upstream-protocol.md describes it.
namespace tamarackhoist::upstreams
{

/// Names of the headers, shared with the stand-ins.
namespace header
{
constexpr auto request_id = "Request-Id";
constexpr auto deadline = "Deadline-Ms";
constexpr auto version = "Index-Version";
constexpr auto versions = "Index-Versions";
constexpr auto key_range = "Key-Range";
constexpr auto covered = "Covered-Range";
constexpr auto draining = "Draining";
constexpr auto not_run = "Not-Run";
} // namespace header

constexpr auto shard_path = "/v1/shard";
constexpr auto order_path = "/v1/order";
constexpr auto health_path = "/v1/health";

/// Returns the HTTP request for one attempt. `remaining` is the time until
/// its deadline.
[[nodiscard]] transport::http_request
encode_request(const policy::sub_request& request, runtime::duration remaining);

/// Returns the request for the health and load of an upstream.
[[nodiscard]] transport::http_request encode_health_request();

/// Interprets the reply to a request. A reply that violates the protocol is
/// reported as broken.
[[nodiscard]] policy::upstream_report
decode_reply(const policy::sub_request& request,
             const transport::http_response& response);

/// Parses `begin-end`, decimal.
[[nodiscard]] std::optional<policy::key_range>
parse_range(std::string_view text);

/// Formats ranges as `begin-end`, separated by commas.
[[nodiscard]] std::string format_ranges(const policy::key_range_set& ranges);

} // namespace tamarackhoist::upstreams

#endif
