#ifndef TAMARACKHOIST_NODE_FORWARD_FIELDS_HPP
#define TAMARACKHOIST_NODE_FORWARD_FIELDS_HPP

#include <string>

namespace tamarackhoist::node
{

/// Names of the HTTP header fields of forwarded requests and their answers.
struct forward_fields {
    /// Identifier of a request, chosen by the caller and echoed by upstreams.
    std::string request_id;
    /// Milliseconds for which the sender will wait for the answer.
    std::string time_left_ms;
    /// Identifier of the upstream that the request is addressed to. Any other
    /// upstream refuses the request.
    std::string expected_upstream;
    /// Digest by which an upstream proves that the answer is its own.
    std::string digest;
    /// Present if the upstream did not execute the request.
    std::string not_executed;
    /// Present in the answers of an upstream that leaves.
    std::string leaving;
    /// Digests of the shards that a fan-out's answer covers.
    std::string shard_digests;
    /// Number of shards that a fan-out's answer lacks.
    std::string missing_shards;
};

} // namespace tamarackhoist::node

#endif
