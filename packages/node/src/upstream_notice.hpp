#ifndef TAMARACKHOIST_NODE_UPSTREAM_NOTICE_HPP
#define TAMARACKHOIST_NODE_UPSTREAM_NOTICE_HPP

#include <tamarackhoist/node/forward_fields.hpp>
#include <tamarackhoist/transport/http_message.hpp>

namespace tamarackhoist::node
{

/// What an upstream says of itself in the head of a response.
struct upstream_notice {
    /// The upstream leaves: it wants no further requests.
    bool is_leaving = false;
};

/// Reads the notice of a response, of whatever kind the response is.
[[nodiscard]] upstream_notice
read_upstream_notice(const transport::http_response& response,
                     const forward_fields& fields);

} // namespace tamarackhoist::node

#endif
