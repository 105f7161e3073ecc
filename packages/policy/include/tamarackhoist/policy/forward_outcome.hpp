#ifndef TAMARACKHOIST_POLICY_FORWARD_OUTCOME_HPP
#define TAMARACKHOIST_POLICY_FORWARD_OUTCOME_HPP

/// How forwarded requests and their attempts end.
namespace tamarackhoist::policy
{

/// How one attempt at one upstream ended.
enum class attempt_result {
    /// A complete answer.
    answered,
    /// The upstream executed the request and failed it.
    failed,
    /// The upstream states that it did not execute the request.
    not_executed,
    /// Bytes were sent and no whole answer came; it may have been executed.
    broken,
    /// No byte reached the upstream.
    not_sent,
    /// The node that passed the request on is lost, which says nothing about
    /// the upstream; it may have been executed.
    unreachable
};

/// How a request ended.
enum class forward_outcome {
    /// Every shard, or the one upstream, answered.
    complete,
    /// Enough shards answered; the rest are missing.
    partial,
    /// An upstream's failure is passed on.
    upstream_failure,
    /// Nothing was executed and nothing will be.
    not_executed,
    /// It may have been executed; no answer can be had.
    unknown,
    /// The time is over; it may have been executed.
    timed_out
};

/// Returns the name of `outcome` in logs and metrics.
[[nodiscard]] const char* to_string(forward_outcome outcome);

/// Returns the name of `result` in logs and metrics.
[[nodiscard]] const char* to_string(attempt_result result);

/// Why a shard was attempted again, or was not.
enum class decision_kind {
    /// The attempt was slow, so another replica was asked besides.
    hedged,
    /// The attempt failed, so another replica was asked.
    retried,
    /// The window had no extra attempt left.
    budget_spent,
    /// No replica is left that was not asked.
    no_replica_left
};

/// Returns the name of `kind` in logs.
[[nodiscard]] const char* to_string(decision_kind kind);

} // namespace tamarackhoist::policy

#endif
