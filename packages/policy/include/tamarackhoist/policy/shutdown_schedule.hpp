#ifndef TAMARACKHOIST_POLICY_SHUTDOWN_SCHEDULE_HPP
#define TAMARACKHOIST_POLICY_SHUTDOWN_SCHEDULE_HPP

#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// What a node that shuts down still does, in the order of the phases.
enum class shutdown_phase {
    /// The load balancer may still open connections to the node.
    accepting,
    /// No more connections are accepted; requests are forwarded as usual.
    forwarding,
    /// Nothing more is sent to an upstream, because the answer might not arrive
    /// in time. Requests that were not sent are rejected as not executed.
    awaiting_answers,
    /// Requests that are still open are answered with what is known of them.
    ending_requests,
    /// The process ends.
    over
};

/// Divides the time between SIGTERM and SIGKILL into phases, so that each
/// request is answered before the process ends.
class shutdown_schedule
{
public:
    /// `grace` is the time from SIGTERM to SIGKILL.
    explicit shutdown_schedule(runtime::duration grace) : grace_(grace) {}

    /// Returns the phase at `elapsed` after SIGTERM.
    [[nodiscard]] shutdown_phase phase_at(runtime::duration elapsed) const;

private:
    const runtime::duration grace_;
};

} // namespace tamarackhoist::policy

#endif
