#ifndef TAMARACKHOIST_POLICY_ORDER_COORDINATOR_HPP
#define TAMARACKHOIST_POLICY_ORDER_COORDINATOR_HPP

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <tamarackhoist/policy/entry_context.hpp>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One non-idempotent request of a caller, addressed to the shard that holds
/// the key `position`.
struct order {
    std::string service;
    key position = 0;
    class_index rank = 0;
    runtime::time_point deadline;
    std::string body;
};

/// Runs one order whose ticket was claimed. The order is never hedged, and it
/// is sent to another replica only after a reply that states that it was not
/// run.
///
/// Does no I/O. Not thread-safe.
class order_coordinator
{
public:
    struct hooks {
        /// Sends one attempt to the node that owns its upstream. Must not call
        /// `on_reply` before it returns.
        std::function<void(const sub_request&)> send;
        /// Cancels one attempt.
        std::function<void(upstream_id, request_id)> cancel;
        /// Receives the outcome. Called once, and a second time when a late
        /// reply resolves an outcome that was reported as unknown.
        std::function<void(order_outcome)> settle;
    };

    order_coordinator(order request, deployment_pointer current,
                      entry_context& context, hooks actions,
                      std::uint64_t seed);

    /// Sends the first attempt, or reports the order as not run when no shard
    /// holds its key.
    void start(runtime::time_point now);

    /// Handles the reply to the current attempt; ignores all others.
    void on_reply(const sub_reply& reply, runtime::time_point now);

    /// Sends a retry that is due, or reports the outcome at the deadline.
    void on_timer(runtime::time_point now);

    /// Returns the time at which `on_timer` is to be called next, or nothing
    /// when no timer is needed.
    [[nodiscard]] std::optional<runtime::time_point> next_timer() const;

    /// Returns whether the outcome was reported and no reply is awaited.
    [[nodiscard]] bool is_finished() const
    {
        return is_reported_ && !pending_request_;
    }

private:
    void send_next(runtime::time_point now);
    void report(order_status status, std::string reason, std::string body);

    const order order_;
    const deployment_pointer deployment_;
    entry_context& context_;
    const hooks actions_;
    std::mt19937_64 random_;
    std::vector<upstream_id> replicas_;
    std::vector<upstream_id> tried_;
    std::optional<request_id> pending_request_;
    upstream_id target_;
    std::optional<runtime::time_point> next_retry_at_;
    std::uint32_t refusals_ = 0;
    bool is_reported_ = false;
};

} // namespace tamarackhoist::policy

#endif
