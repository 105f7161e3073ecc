#ifndef TAMARACKHOIST_NODE_FORWARD_FIELDS_HPP
#define TAMARACKHOIST_NODE_FORWARD_FIELDS_HPP

#include <string>

namespace tamarackhoist::node
{

/// Names of the header fields that forwarded requests and answers carry.
struct forward_fields {
    /// Identity of a request, chosen by the caller and echoed by upstreams.
    std::string request_id;
    /// Milliseconds that the sender will wait for the answer.
    std::string time_left_ms;
    /// Upstream that the request is meant for; any other one refuses it.
    std::string expected_upstream;
    /// An upstream's proof of its answer.
    std::string digest;
    /// Present when the upstream did not execute the request.
    std::string not_executed;
    /// Digests of the shards in the answer of a fan-out.
    std::string shard_digests;
    /// Number of shards that are not in the answer of a fan-out.
    std::string missing_shards;
};

} // namespace tamarackhoist::node

#endif
