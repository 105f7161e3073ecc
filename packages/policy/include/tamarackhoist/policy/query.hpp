#ifndef TAMARACKHOIST_POLICY_QUERY_HPP
#define TAMARACKHOIST_POLICY_QUERY_HPP

#include <string>
#include <tamarackhoist/policy/sub_request.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One idempotent request of a caller, over a part of an index.
struct query {
    std::string index;
    key_range_set ranges;
    class_index rank = 0;
    runtime::time_point deadline;
    std::string body;
};

enum class query_status {
    /// The whole requested range was answered.
    complete,
    /// A part was answered, and the class allows partial answers.
    partial,
    /// Nothing was sent to any upstream.
    not_run,
    /// Something was sent, but no answer can be given.
    failed
};

/// Returns the name of `status` as shown to callers.
[[nodiscard]] const char* to_string(query_status status);

/// Why a range is missing from an answer.
enum class missing_reason {
    no_shard,
    deadline,
    overloaded,
    draining,
    not_connected,
    version_unavailable,
    moved,
    lost_reply,
    /// Answered, but withheld since the class takes whole answers only.
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
    /// Revision of the document that the query was planned with.
    std::uint64_t epoch = 0;
    key_range_set answered;
    std::vector<missing_range> missing;
    std::vector<result_item> items;
    /// Attempts beyond the first of each shard that may have reached an
    /// upstream.
    std::uint32_t extra_attempts = 0;
};

} // namespace tamarackhoist::policy

#endif
