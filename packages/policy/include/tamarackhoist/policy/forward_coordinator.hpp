#ifndef TAMARACKHOIST_POLICY_FORWARD_COORDINATOR_HPP
#define TAMARACKHOIST_POLICY_FORWARD_COORDINATOR_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/forward_context.hpp>
#include <tamarackhoist/policy/forward_outcome.hpp>
#include <tamarackhoist/policy/forward_times.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// A decision on whether to make another attempt, with the values it was based
/// on.
struct attempt_decision {
    decision_kind kind = decision_kind::retried;
    std::string_view service;
    /// Upstream of the latest attempt; empty if there was none.
    std::string_view previous;
    /// Upstream chosen for the new attempt; empty if there was none.
    std::string_view chosen;
    /// Time since the latest attempt started.
    runtime::duration waited{};
    /// Latency after which an attempt counts as delayed.
    runtime::duration hedge_delay{};
    /// Extra attempts that remain in the window.
    double budget_left = 0.0;
};

/// Identifies an attempt within its request.
struct attempt_key {
    std::size_t shard = 0;
    std::size_t attempt = 0;

    bool operator==(const attempt_key&) const = default;
};

/// Counts of one request for logs and metrics.
struct forward_counts {
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::uint32_t denied_by_budget = 0;
};

/// Summary of the attempts for one shard.
struct attempt_summary {
    std::size_t count = 0;
    /// Upstream of the latest attempt; empty if there was none.
    std::string_view upstream;
    /// Result of the latest attempt, that it is still open, or "none".
    std::string_view result = "none";
};

/// State machine of one forwarded request: selects the upstreams, hedges and
/// retries attempts, and decides when the answer is final. A request to a
/// single service is handled as one shard. Performs no I/O; the host reports
/// events and the current time with each call. Not thread-safe.
class forward_coordinator
{
public:
    struct hooks {
        /// Starts an attempt. The host reports its end through
        /// `record_attempt_end`, but not from within this call.
        std::function<void(attempt_key, const upstream_handle&)> send;
        /// Cancels an attempt. Its end must not be reported afterwards.
        std::function<void(attempt_key)> cancel;
        /// Reports the outcome of the request. Called at most once, and not
        /// after `abandon`.
        std::function<void(forward_outcome)> finish;
        /// Reports a decision for the log; may be empty.
        std::function<void(const attempt_decision&)> report_decision;
    };

    forward_coordinator(forward_context& context,
                        const upstream_directory& directory, const route& route,
                        std::vector<std::string> shards, forward_times times,
                        hooks hooks);

    /// Makes the first attempt for each shard. May finish the request
    /// immediately.
    void start(runtime::time_point now);

    /// Processes the end of an attempt. Ignored if the attempt was cancelled or
    /// the request is finished.
    void record_attempt_end(attempt_key key, attempt_result result,
                            runtime::time_point now);

    /// Like the overload above, for an attempt that took `latency` and whose
    /// end is reported later.
    void record_attempt_end(attempt_key key, attempt_result result,
                            runtime::duration latency, runtime::time_point now);

    /// Returns the age at which an open attempt is hedged.
    [[nodiscard]] runtime::duration hedge_delay() const;

    /// Hedges delayed attempts and enforces the time limits. To be called at
    /// `next_wake`.
    void wake(runtime::time_point now);

    /// Cancels all open attempts without reporting an outcome, because the
    /// caller has disconnected.
    void abandon(runtime::time_point now);

    /// Ends the request with what is known of it, because the node stops: the
    /// answers so far if they suffice, otherwise a failure that promises "not
    /// executed" only if no attempt may have run.
    void end_early(runtime::time_point now);

    [[nodiscard]] runtime::time_point next_wake() const { return next_wake_; }
    [[nodiscard]] bool is_finished() const { return is_finished_; }
    [[nodiscard]] const forward_counts& counts() const { return counts_; }

    /// Returns a summary of the attempts for `shard` so far, for the log.
    [[nodiscard]] attempt_summary last_attempt(std::size_t shard) const;
    /// Returns the id of the upstream that an attempt was made at.
    [[nodiscard]] const std::string& upstream_id(attempt_key key) const;
    /// Returns the attempt that answered for `shard`, if any.
    [[nodiscard]] std::optional<attempt_key> winner(std::size_t shard) const;
    /// Returns the last attempt that ended with `attempt_result::failed`, if
    /// any.
    [[nodiscard]] std::optional<attempt_key> last_failure() const
    {
        return last_failure_;
    }
    [[nodiscard]] std::size_t shard_count() const { return shards_.size(); }
    [[nodiscard]] std::size_t answered_count() const
    {
        return answered_shards_;
    }
    [[nodiscard]] const std::string& service(std::size_t shard) const
    {
        return shards_[shard].service;
    }

private:
    enum class attempt_state { open, ended, cancelled };

    struct attempt {
        upstream_handle upstream;
        runtime::time_point started;
        attempt_state state = attempt_state::open;
        bool is_extra = false;
        /// Meaningful once the attempt has ended.
        attempt_result result = attempt_result::broken;
    };

    struct shard_state {
        std::string service;
        std::vector<attempt> attempts;
        std::optional<std::size_t> winner;
        /// No attempt is open and no further one can be made.
        bool is_exhausted = false;
        /// An attempt may have been executed.
        bool may_have_run = false;
    };

    [[nodiscard]] upstream_handle choose_upstream(const shard_state& shard,
                                                  runtime::time_point now);
    void send(std::size_t index, const upstream_handle& upstream, bool is_extra,
              runtime::time_point now);
    void retry(std::size_t index, bool counts_as_extra,
               runtime::time_point now);
    void report_decision(decision_kind kind, const shard_state& shard,
                         const upstream_handle& chosen,
                         runtime::time_point now);
    void hedge(std::size_t index, runtime::time_point now);
    void hedge_delayed_shards(runtime::time_point now);
    void cancel_open_attempts(shard_state& shard, std::size_t index,
                              runtime::time_point now);
    void record_result(attempt& ended, attempt_result result,
                       runtime::duration latency, runtime::time_point now);
    void finish_or_reschedule(runtime::time_point now);
    void schedule_next_wake(runtime::time_point now);
    void finish(forward_outcome outcome, runtime::time_point now);
    [[nodiscard]] static bool has_open_attempt(const shard_state& shard);
    [[nodiscard]] bool is_coverage_sufficient() const;
    /// Whether the shards that are not exhausted can still give an answer.
    [[nodiscard]] bool is_coverage_possible() const;
    [[nodiscard]] bool has_pending_shard() const;
    [[nodiscard]] forward_outcome failure_outcome() const;

    forward_context& context_;
    const upstream_directory& directory_;
    const route& route_;
    route_latency& latency_;
    std::vector<shard_state> shards_;
    const forward_times times_;
    const hooks hooks_;
    forward_counts counts_;
    std::size_t answered_shards_ = 0;
    std::optional<attempt_key> last_failure_;
    runtime::time_point next_wake_{};
    bool is_finished_ = false;
};

} // namespace tamarackhoist::policy

#endif
