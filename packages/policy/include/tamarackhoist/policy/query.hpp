#ifndef TAMARACKHOIST_POLICY_QUERY_HPP
#define TAMARACKHOIST_POLICY_QUERY_HPP

#include <string>
#include <tamarackhoist/policy/sub_request.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One idempotent request of a caller, for some key ranges of an index.
struct query {
    std::string index;
    key_range_set ranges;
    class_index rank = 0;
    runtime::time_point deadline;
    std::string body;
};

/// Result of a query.
enum class query_status {
    /// The whole requested range was answered.
    complete,
    /// A part was answered, and the class allows partial answers.
    partial,
    /// Nothing was sent to any upstream.
    not_run,
    /// Requests were sent, but no answer can be given.
    failed
};

/// Returns the name of `status` as shown to callers.
[[nodiscard]] const char* to_string(query_status status);

/// Reason why a range is missing from an answer.
enum class missing_reason {
    /// No shard of the index holds the range.
    no_shard,
    /// No replica replied before the deadline.
    deadline,
    /// The query was not admitted, or the replicas were overloaded.
    overloaded,
    /// The replicas or their owners were draining.
    draining,
    /// No replica could be reached through its owner.
    not_connected,
    /// No replica serves the pinned index version.
    version_unavailable,
    /// The shard was split or moved during the query.
    moved,
    /// A replica may have run the request, but its reply was lost.
    lost_reply,
    /// Answered, but withheld because the class does not allow partial
    /// answers.
    withheld
};

/// Returns the name of `reason` as shown to callers.
[[nodiscard]] const char* to_string(missing_reason reason);

struct missing_range {
    key_range range;
    missing_reason reason = missing_reason::deadline;
};

struct query_answer {
    query_status status = query_status::failed;
    index_version version = 0;
    /// Epoch of the deployment that the query was planned with.
    std::uint64_t epoch = 0;
    key_range_set answered;
    std::vector<missing_range> missing;
    std::vector<result_item> items;
    /// Hedges and retries that may have reached an upstream.
    std::uint32_t extra_attempts = 0;
};

} // namespace tamarackhoist::policy

#endif
