#ifndef TAMARACKHOIST_POLICY_FORWARD_TIMES_HPP
#define TAMARACKHOIST_POLICY_FORWARD_TIMES_HPP

#include <optional>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Start and time limits of one request, on the node's clock.
struct forward_times {
    runtime::time_point started;
    /// Latest time to send an answer that reaches the caller within the latency
    /// target.
    runtime::time_point on_time_until;
    /// Time at which the request times out.
    runtime::time_point deadline;
};

/// What a node knows of a request's caller when the request has arrived.
struct caller_timing {
    runtime::time_point received;
    /// One-way network delay between the caller and this node.
    runtime::duration delay{};
    /// Whether the caller opened a connection for this request.
    bool is_first_on_connection = false;
    /// Time that the caller states it will wait; empty if it does not say.
    std::optional<runtime::duration> time_left;
};

/// Computes the limits of a request. The caller counts its latency from before
/// the request's way to the node, and from before the handshake of a new
/// connection.
[[nodiscard]] forward_times compute_forward_times(const route& route,
                                                  const caller_timing& caller);

} // namespace tamarackhoist::policy

#endif
