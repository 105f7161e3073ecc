#ifndef TAMARACKHOIST_POLICY_SUB_REQUEST_HPP
#define TAMARACKHOIST_POLICY_SUB_REQUEST_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <tamarackhoist/policy/deployment.hpp>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/policy/key_range_set.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// Messages between an entry node and the owner of an upstream.
namespace tamarackhoist::policy
{

/// Version of an index; 0 stands for "whichever the upstream serves".
using index_version = std::uint64_t;

/// One attempt at one upstream.
struct sub_request {
    request_id id;
    upstream_id target;
    class_index rank = 0;
    runtime::time_point deadline;
    key_range range;
    index_version version = 0;
    bool is_idempotent = true;
    bool is_hedge = false;
    /// Asks the owner to refuse at once instead of queueing, since another
    /// replica may have a free slot.
    bool may_redirect = false;
    std::shared_ptr<const std::string> body;
};

enum class sub_outcome {
    /// The upstream answered the part of the range that it states.
    answered,
    /// The upstream does not serve the pinned index version; not run.
    version_unavailable,
    /// The upstream said that it did not run the request.
    shed,
    /// No byte was sent to an upstream, for `refusal`'s reason.
    not_run,
    /// The request may have run; its reply was lost.
    failed
};

enum class refusal {
    none,
    draining,
    no_time,
    busy,
    cancelled,
    not_connected,
    not_owner,
    node_leaving,
    node_resumed,
    queue_full
};

/// Returns the name of `reason` as shown to callers.
[[nodiscard]] const char* to_string(refusal reason);

/// Index versions that an upstream serves, both inclusive; 0 when unknown.
struct version_span {
    index_version low = 0;
    index_version high = 0;

    [[nodiscard]] bool contains(index_version version) const
    {
        return low <= version && version <= high;
    }
    bool operator==(const version_span&) const = default;
};

struct result_item {
    key position = 0;
    std::string value;
};

/// What the owner publishes about an upstream with each reply.
struct upstream_load {
    /// Class that `queue_delay` is for.
    class_index rank = 0;
    /// Expected wait in the queue of the request's class.
    runtime::duration queue_delay{};
    /// Smoothed time from dispatch to reply.
    runtime::duration service_time{};
    version_span versions;
    bool is_draining = false;
    bool is_suspect = false;
};

struct sub_reply {
    request_id id;
    upstream_id source;
    sub_outcome outcome = sub_outcome::failed;
    refusal reason = refusal::none;
    /// Time that the request spent in the owner's queue.
    runtime::duration waited{};
    index_version version = 0;
    key_range_set covered;
    std::vector<result_item> items;
    upstream_load load;
};

} // namespace tamarackhoist::policy

#endif
