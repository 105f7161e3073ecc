#ifndef TAMARACKHOIST_POLICY_QUERY_COORDINATOR_HPP
#define TAMARACKHOIST_POLICY_QUERY_COORDINATOR_HPP

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <tamarackhoist/policy/entry_context.hpp>
#include <tamarackhoist/policy/query.hpp>
#include <unordered_map>

namespace tamarackhoist::policy
{

/// Runs one query: chooses replicas, hedges and retries within the attempt
/// budgets, takes all answers from one index version and tracks which keys
/// were answered.
///
/// Does no I/O. Not thread-safe: the hooks and methods of one coordinator
/// run on one executor. docs/design/query.md describes the numbered steps.
class query_coordinator
{
public:
    struct hooks {
        /// Sends attempts to the nodes that own their upstreams. Must not
        /// call `on_reply` before it returns.
        std::function<void(std::span<const sub_request>)> send;
        /// Cancels one attempt.
        std::function<void(upstream_id, request_id)> cancel;
        /// Receives the answer of the query; called exactly once.
        std::function<void(query_answer)> complete;
        /// Returns the deployment that is in force at the time of the call.
        std::function<deployment_pointer()> current_deployment;
    };
    class builder;

    /// Splits the query over the shards and sends the first attempts, or
    /// completes it as not run when it cannot be answered in time or is not
    /// admitted.
    void start(runtime::time_point now);

    /// Handles the reply to one attempt. Replies to unknown, cancelled and
    /// finished attempts are ignored.
    void on_reply(const sub_reply& reply, runtime::time_point now);

    /// Sends the hedges and retries that are due and completes the query at
    /// its deadline.
    void on_timer(runtime::time_point now);

    /// Returns the time at which `on_timer` is to be called next, or nothing
    /// when the query is complete.
    [[nodiscard]] std::optional<runtime::time_point> next_timer() const;

    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    /// Part of the query that one shard answers, and its attempts.
    struct shard_part {
        key_range range;
        std::vector<upstream_id> replicas;
        /// Replicas that the next attempt does not use.
        std::vector<upstream_id> tried;
        /// Replica that refused the last attempt as busy.
        std::optional<upstream_id> busy_replica;
        std::uint32_t live_attempts = 0;
        std::uint32_t sent_attempts = 0;
        std::uint32_t refusals = 0;
        /// Refusals for lack of time or queue space since `tried` was last
        /// cleared.
        std::uint32_t overload_refusals = 0;
        bool is_answered = false;
        /// Whether every replica refused for lack of time or queue space.
        bool is_given_up = false;
        /// Hedges that were due, also those that were refused.
        std::uint32_t hedges = 0;
        std::optional<runtime::time_point> next_hedge_at;
        std::optional<runtime::time_point> next_retry_at;
        missing_reason reason = missing_reason::deadline;
    };
    struct attempt {
        std::size_t part_position;
        upstream_id target;
        runtime::time_point sent_at;
        bool is_hedge;
    };
    enum class attempt_kind { first, retry, hedge };

    query_coordinator(query request, entry_context& context, hooks actions,
                      std::uint64_t seed);

    [[nodiscard]] const priority_class& request_class() const;
    [[nodiscard]] bool cannot_meet_deadline(runtime::time_point now) const;
    void plan(const key_range_set& ranges);
    void send_first_attempts(runtime::time_point now);
    [[nodiscard]] std::optional<sub_request>
    make_attempt(std::size_t position, attempt_kind kind,
                 runtime::time_point now);
    void retry_now(std::size_t position, runtime::time_point now);
    void schedule_retry(shard_part& part, runtime::time_point now);
    void detect_congestion(const sub_reply& reply, runtime::time_point now);
    void accept_answer(std::size_t position, const sub_reply& reply);
    void replan_unanswered(std::size_t position, runtime::time_point now);
    void on_version_unavailable(std::size_t position, const sub_reply& reply,
                                runtime::time_point now);
    void restart_with_version(index_version version, runtime::time_point now);
    void reschedule_hedge(shard_part& part, upstream_id refused_by,
                          runtime::time_point now);
    void on_not_run(std::size_t position, const sub_reply& reply,
                    runtime::time_point now);
    void cancel_attempts(std::size_t position, runtime::time_point now);
    void release_attempt(const attempt& ended);
    void finish_if_done(runtime::time_point now);
    void finish(query_answer answer, runtime::time_point now);
    [[nodiscard]] query_answer make_answer() const;

    const query query_;
    const std::shared_ptr<const std::string> body_;
    entry_context& context_;
    const hooks actions_;
    std::mt19937_64 random_;
    deployment_pointer deployment_;
    index_version version_ = 0;
    std::uint32_t restarts_ = 0;
    std::uint32_t extra_attempts_ = 0;
    std::vector<shard_part> parts_;
    std::unordered_map<request_id, attempt> attempts_;
    std::vector<missing_range> ranges_without_shard_;
    key_range_set answered_;
    std::vector<result_item> items_;
    std::vector<runtime::duration> latencies_;
    bool is_admitted_ = false;
    bool is_congested_ = false;
    bool may_have_run_ = false;
    bool is_complete_ = false;
};

/// Collects the dependencies of a coordinator.
class query_coordinator::builder
{
public:
    builder& for_query(query value);
    builder& with_context(entry_context& value);
    builder& with_hooks(hooks value);
    /// Seeds the random choice among replicas.
    builder& with_seed(std::uint64_t value);

    /// Requires a context and all four hooks.
    [[nodiscard]] std::unique_ptr<query_coordinator> build();

private:
    query query_;
    entry_context* context_ = nullptr;
    hooks hooks_;
    std::uint64_t seed_ = 0;
};

} // namespace tamarackhoist::policy

#endif
