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

/// Version of an index; 0 accepts any version that the upstream serves.
using index_version = std::uint64_t;

/// One attempt to run a part of a query, or an order, at one upstream.
struct sub_request {
    request_id id;
    upstream_id target;
    class_index rank = 0;
    runtime::time_point deadline;
    key_range range;
    index_version version = 0;
    bool is_idempotent = true;
    bool is_hedge = false;
    /// Asks the owner to refuse the request as busy instead of queueing it,
    /// since another replica may have a free slot.
    bool may_redirect = false;
    std::shared_ptr<const std::string> body;
};

/// Result of one attempt.
enum class sub_outcome {
    /// The upstream answered the keys in `sub_reply::covered`.
    answered,
    /// The upstream does not serve the requested index version and did not
    /// run the request.
    version_unavailable,
    /// The upstream refused the request without running it.
    shed,
    /// No byte was sent to an upstream; `sub_reply::reason` states why.
    not_run,
    /// The request may have run, but its reply was lost.
    failed
};

/// Reason why an owner did not send a request to its upstream.
enum class refusal {
    none,
    draining,
    /// The request cannot finish by its deadline.
    no_time,
    /// A hedge or redirectable request would have been queued.
    busy,
    cancelled,
    /// The upstream cannot be reached, or its state is unknown.
    not_connected,
    /// The node does not own the upstream.
    not_owner,
    /// The owner is shutting down.
    node_leaving,
    /// The owner was paused and has not caught up yet.
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

/// Value of one key.
struct result_item {
    key position = 0;
    std::string value;
};

/// Load and state of an upstream, which its owner publishes with each reply.
struct upstream_load {
    /// Class of the request, to which `queue_delay` applies.
    class_index rank = 0;
    /// Expected time in the queue for a new request of that class.
    runtime::duration queue_delay{};
    /// Moving average of the time from dispatch to reply.
    runtime::duration service_time{};
    version_span versions;
    bool is_draining = false;
    bool is_suspect = false;
};

/// Reply of an owner to one sub-request.
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
