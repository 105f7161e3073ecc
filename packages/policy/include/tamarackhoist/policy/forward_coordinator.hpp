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
#include <tamarackhoist/policy/routing_table.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One decision about a further attempt, with what decided it.
struct attempt_decision {
    decision_kind kind = decision_kind::retried;
    std::string_view service;
    /// Upstream of the latest attempt; empty if there was none.
    std::string_view previous;
    /// Upstream of the new attempt; empty if there is none.
    std::string_view chosen;
    /// Age of the latest attempt.
    runtime::duration waited{};
    /// Latency after which an attempt counts as delayed.
    runtime::duration hedge_delay{};
    /// Extra attempts that the window has left.
    double budget_left = 0.0;
};

/// Identity of an attempt within its request.
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

/// The attempts of one shard in short.
struct attempt_summary {
    std::size_t count = 0;
    /// Upstream of the latest attempt; empty if there was none.
    std::string_view upstream;
    /// How it ended, or that it had not ended.
    std::string_view result = "none";
};

/// Times of one request, on the node's clock.
struct forward_times {
    runtime::time_point started;
    /// Latest instant at which an answer still reaches the caller within the
    /// latency target.
    runtime::time_point on_time_until;
    /// Final answer at the latest.
    runtime::time_point deadline;
};

/// Decides the course of one request: which upstreams it goes to, when it is
/// hedged or retried, and when its answer is final. A request to one service
/// is the case of a single shard. Free of I/O; the host reports events and
/// the time with each call. Not thread-safe.
class forward_coordinator
{
public:
    struct hooks {
        /// Starts an attempt; its end is reported through `attempt_ended`,
        /// but not from within this call.
        std::function<void(attempt_key, const upstream_handle&)> send;
        /// Gives an attempt up; its end is not reported any more.
        std::function<void(attempt_key)> cancel;
        /// The request is over; called once.
        std::function<void(forward_outcome)> finish;
        /// Reports a decision for the log; may be empty.
        std::function<void(const attempt_decision&)> decided;
    };

    forward_coordinator(forward_context& context,
                        const upstream_directory& directory, const route& of,
                        std::vector<std::string> shards, forward_times times,
                        hooks hooks);

    /// Makes the first attempts. May finish the request at once.
    void start(runtime::time_point now);

    void attempt_ended(attempt_key key, attempt_result result,
                       runtime::time_point now);

    /// The same for an attempt that is known to have taken `latency`, although
    /// its end is reported later.
    void attempt_ended(attempt_key key, attempt_result result,
                       runtime::duration latency, runtime::time_point now);

    /// Latency after which an attempt counts as delayed.
    [[nodiscard]] runtime::duration hedge_delay() const;

    /// To be called at `next_wake`.
    void wake(runtime::time_point now);

    /// The caller is gone: gives every attempt up without a result.
    void abandon(runtime::time_point now);

    [[nodiscard]] runtime::time_point next_wake() const { return next_wake_; }
    [[nodiscard]] bool is_finished() const { return is_finished_; }
    [[nodiscard]] const forward_counts& counts() const { return counts_; }

    /// Returns the course of `shard` so far, for the log.
    [[nodiscard]] attempt_summary last_attempt(std::size_t shard) const;
    /// Returns the attempt that answered for `shard`, if any.
    [[nodiscard]] std::optional<attempt_key> winner(std::size_t shard) const;
    /// Returns the last attempt that ended in an upstream's failure, if any.
    [[nodiscard]] std::optional<attempt_key> last_failure() const
    {
        return last_failure_;
    }
    [[nodiscard]] std::size_t shard_count() const { return shards_.size(); }
    [[nodiscard]] std::size_t answered_count() const { return answered_; }
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
        /// No attempt is open and none can be made.
        bool is_exhausted = false;
        /// An attempt may have been executed.
        bool may_have_run = false;
    };

    [[nodiscard]] upstream_handle pick(const shard_state& shard,
                                       runtime::time_point now);
    void send(std::size_t index, const upstream_handle& upstream, bool is_extra,
              runtime::time_point now);
    void retry(std::size_t index, bool counts_as_extra,
               runtime::time_point now);
    void decide(decision_kind kind, const shard_state& shard,
                const upstream_handle& chosen, runtime::time_point now);
    void hedge(std::size_t index, runtime::time_point now);
    void hedge_delayed(runtime::time_point now);
    void give_up_attempts(shard_state& shard, std::size_t index,
                          runtime::time_point now);
    void record_end(attempt& ended, attempt_result result,
                    runtime::duration latency, runtime::time_point now);
    void settle(runtime::time_point now);
    void schedule(runtime::time_point now);
    void finish(forward_outcome outcome, runtime::time_point now);
    [[nodiscard]] static bool has_open_attempt(const shard_state& shard);
    [[nodiscard]] bool is_enough() const;
    [[nodiscard]] bool has_hope() const;
    [[nodiscard]] forward_outcome failure_outcome() const;

    forward_context& context_;
    const upstream_directory& directory_;
    const route& route_;
    route_latency& latency_;
    std::vector<shard_state> shards_;
    const forward_times times_;
    const hooks hooks_;
    forward_counts counts_;
    std::size_t answered_ = 0;
    std::optional<attempt_key> last_failure_;
    runtime::time_point next_wake_{};
    bool is_finished_ = false;
};

} // namespace tamarackhoist::policy

#endif
