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

/// Runs one query: chooses replicas, hedges and retries within the budgets,
/// keeps all answers on one index version and accounts for coverage.
///
/// Free of I/O. Not thread-safe: the hooks and methods of one coordinator
/// run on one executor. docs/design/query.md describes the steps.
class query_coordinator
{
public:
    struct hooks {
        /// Sends attempts to the owners of their upstreams. Replies are
        /// delivered after the hook has returned, never from inside it.
        std::function<void(std::span<const sub_request>)> send;
        /// Cancels one attempt.
        std::function<void(upstream_id, request_id)> cancel;
        /// Receives the answer; called exactly once.
        std::function<void(query_answer)> complete;
        /// Returns the deployment now in force.
        std::function<deployment_pointer()> current_deployment;
    };
    class builder;

    /// Plans the query and sends the first attempts, or refuses it.
    void start(runtime::time_point now);

    /// Takes one reply. Replies to attempts that are not awaited are ignored.
    void on_reply(const sub_reply& reply, runtime::time_point now);

    /// Sends due hedges and retries, and ends the query at its deadline.
    void on_timer(runtime::time_point now);

    /// Returns when `on_timer` has work to do next.
    [[nodiscard]] std::optional<runtime::time_point> next_timer() const;

    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    /// A range that one shard answers.
    struct piece {
        key_range range;
        std::vector<upstream_id> replicas;
        std::vector<upstream_id> tried;
        /// Replica that just asked to be tried elsewhere first.
        std::optional<upstream_id> busy;
        std::uint32_t live_attempts = 0;
        std::uint32_t sent_attempts = 0;
        std::uint32_t refusals = 0;
        /// Refusals for lack of time since the replicas were last tried anew.
        std::uint32_t overloads = 0;
        bool is_settled = false;
        bool is_given_up = false;
        std::uint32_t hedges = 0;
        std::optional<runtime::time_point> hedge_at;
        std::optional<runtime::time_point> retry_at;
        missing_reason reason = missing_reason::deadline;
    };
    struct attempt {
        std::size_t piece_position;
        upstream_id target;
        runtime::time_point sent_at;
        bool is_hedge;
    };
    enum class attempt_kind { first, retry, hedge };

    query_coordinator(query wanted, entry_context& context, hooks actions,
                      std::uint64_t seed);

    [[nodiscard]] const priority_class& rank_description() const;
    [[nodiscard]] bool cannot_meet_deadline(runtime::time_point now) const;
    void plan(const key_range_set& ranges);
    void send_unsent(runtime::time_point now);
    [[nodiscard]] std::optional<sub_request>
    make_attempt(std::size_t position, attempt_kind kind,
                 runtime::time_point now);
    void try_again(std::size_t position, runtime::time_point now);
    void wait_and_retry(piece& each, runtime::time_point now);
    void note_congestion(const sub_reply& reply, runtime::time_point now);
    void accept(std::size_t position, const sub_reply& reply);
    void replan_rest(std::size_t position, runtime::time_point now);
    void on_version_unavailable(std::size_t position, const sub_reply& reply,
                                runtime::time_point now);
    void restart_with(index_version version, runtime::time_point now);
    void rearm_hedge(piece& each, upstream_id refused_by,
                     runtime::time_point now);
    void on_not_run(std::size_t position, const sub_reply& reply,
                    runtime::time_point now);
    void drop_attempts_of(std::size_t position, runtime::time_point now);
    void settle(const attempt& ended);
    void finish_if_done(runtime::time_point now);
    void finish(query_answer answer, runtime::time_point now);
    [[nodiscard]] query_answer make_answer() const;

    const query wanted_;
    const std::shared_ptr<const std::string> body_;
    entry_context& context_;
    const hooks actions_;
    std::mt19937_64 random_;
    deployment_pointer deployment_;
    index_version version_ = 0;
    std::uint32_t restarts_ = 0;
    std::uint32_t extra_ = 0;
    std::vector<piece> pieces_;
    std::unordered_map<request_id, attempt> attempts_;
    std::vector<missing_range> unplanned_;
    key_range_set answered_;
    std::vector<result_item> items_;
    std::vector<runtime::duration> latencies_;
    bool is_admitted_ = false;
    bool is_congested_ = false;
    bool may_have_run_ = false;
    bool is_complete_ = false;
};

/// Collects what a coordinator needs.
class query_coordinator::builder
{
public:
    builder& for_query(query value);
    builder& with_context(entry_context& value);
    builder& with_hooks(hooks value);
    /// Seeds the choice among replicas.
    builder& with_seed(std::uint64_t value);

    [[nodiscard]] std::unique_ptr<query_coordinator> build();

private:
    query query_;
    entry_context* context_ = nullptr;
    hooks hooks_;
    std::uint64_t seed_ = 0;
};

} // namespace tamarackhoist::policy

#endif
