#ifndef TAMARACKHOIST_POLICY_FORWARD_OUTCOME_HPP
#define TAMARACKHOIST_POLICY_FORWARD_OUTCOME_HPP

/// Outcomes of forwarded requests and results of their attempts.
namespace tamarackhoist::policy
{

/// Result of one attempt at one upstream.
enum class attempt_result {
    /// The upstream returned a complete answer.
    answered,
    /// The upstream executed the request and returned a failure.
    failed,
    /// The upstream states that it did not execute the request.
    not_executed,
    /// Part of the request was sent but no complete answer was received; the
    /// request may have been executed.
    broken,
    /// Nothing was sent to the upstream.
    not_sent,
    /// The node that relayed the request was lost, which tells nothing about
    /// the health of the upstream; the request may have been executed.
    unreachable
};

/// Outcome of a request.
enum class forward_outcome {
    /// Every shard, or the single service, answered.
    complete,
    /// Enough shards answered; the rest are missing.
    partial,
    /// The failure that an upstream returned is passed on to the caller.
    upstream_failure,
    /// No upstream executed the request, and none will.
    not_executed,
    /// The request may have been executed, but no answer can be obtained.
    unknown,
    /// The deadline passed; the request may have been executed.
    timed_out
};

/// Returns the name of `outcome` for logs and metrics.
[[nodiscard]] const char* to_string(forward_outcome outcome);

/// Returns the name of `result` for logs and metrics.
[[nodiscard]] const char* to_string(attempt_result result);

/// Why another attempt for a shard was made or not made.
enum class decision_kind {
    /// The attempt was slow, so the request was also sent to another replica.
    hedged,
    /// The attempt failed, so the request was sent to another replica.
    retried,
    /// The extra attempt budget of the window was exhausted.
    budget_spent,
    /// No untried replica is left, or the route allows no further attempt.
    no_replica_left
};

/// Returns the name of `kind` for logs.
[[nodiscard]] const char* to_string(decision_kind kind);

} // namespace tamarackhoist::policy

#endif
