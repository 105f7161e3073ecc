#ifndef TAMARACKHOIST_UPSTREAMS_UPSTREAM_WIRE_HPP
#define TAMARACKHOIST_UPSTREAMS_UPSTREAM_WIRE_HPP

#include <string>
#include <string_view>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/transport/http_message.hpp>

/// The protocol between this tier and its upstreams. This module alone knows
/// the wire format, which docs/design/upstream-protocol.md describes.
namespace tamarackhoist::upstreams
{

/// Names of the header fields, also used by the stand-ins.
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

/// Returns the HTTP request for one attempt. `remaining` is the time until its
/// deadline; it is sent in whole milliseconds, at least 0.
[[nodiscard]] transport::http_request
encode_request(const policy::sub_request& request, runtime::duration remaining);

/// Returns the request that asks an upstream for its health.
[[nodiscard]] transport::http_request encode_health_request();

/// Decodes the reply to `request`. A reply that violates the protocol yields
/// `upstream_outcome::broken`.
[[nodiscard]] policy::upstream_report
decode_reply(const policy::sub_request& request,
             const transport::http_response& response);

/// Parses a range of the form `BEGIN-END` with decimal numbers. Returns nothing
/// if the text is malformed or the range is reversed or beyond the key space.
[[nodiscard]] std::optional<policy::key_range>
parse_range(std::string_view text);

/// Formats ranges as `BEGIN-END`, separated by commas.
[[nodiscard]] std::string format_ranges(const policy::key_range_set& ranges);

} // namespace tamarackhoist::upstreams

#endif
