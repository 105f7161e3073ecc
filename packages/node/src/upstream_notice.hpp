#ifndef TAMARACKHOIST_NODE_UPSTREAM_NOTICE_HPP
#define TAMARACKHOIST_NODE_UPSTREAM_NOTICE_HPP

#include <optional>
#include <tamarackhoist/node/forward_fields.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/http_message.hpp>

namespace tamarackhoist::node
{

/// What an upstream says of itself in the head of a response.
struct upstream_notice {
    /// The upstream leaves: it wants no further requests.
    bool is_leaving = false;
    /// Time for which the upstream wants no requests.
    std::optional<runtime::duration> pause;
    /// The upstream asked for a pause whose length cannot be read.
    bool is_pause_malformed = false;
};

/// Reads the notice of a response, of whatever kind the response is. Only a 503
/// response can ask for a pause, in seconds, which may have a fraction.
[[nodiscard]] upstream_notice
read_upstream_notice(const transport::http_response& response,
                     const forward_fields& fields);

} // namespace tamarackhoist::node

#endif
