#ifndef TAMARACKHOIST_UPSTREAMS_RESPONSE_FAULT_HPP
#define TAMARACKHOIST_UPSTREAMS_RESPONSE_FAULT_HPP

#include <string_view>

namespace tamarackhoist::upstreams
{

/// Why the bytes that an upstream sent were rejected.
enum class response_fault {
    /// The bytes are not HTTP, or the response is cut off.
    malformed,
    head_too_large,
    body_too_large,
    /// A chunk header or the trailer is too large.
    framing_too_large,
    /// Too many interim responses or responses to other requests arrived in
    /// place of the expected response.
    too_many_skipped,
    /// The unfinished responses of the node hold too much memory together.
    out_of_memory,
    /// Bytes arrived on a connection without a request.
    unexpected
};

/// Returns the name of `fault` for logs and metrics.
[[nodiscard]] std::string_view to_string(response_fault fault);

} // namespace tamarackhoist::upstreams

#endif
