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

/// One non-idempotent request of a caller.
struct order {
    std::string service;
    key position = 0;
    class_index rank = 0;
    runtime::time_point deadline;
    std::string body;
};

/// Runs one claimed order: it is sent to another replica only after a reply
/// that says that it was not run, and never hedged.
///
/// Free of I/O. Not thread-safe. `send` must not reply before it returns.
class order_coordinator
{
public:
    struct hooks {
        std::function<void(const sub_request&)> send;
        std::function<void(upstream_id, request_id)> cancel;
        /// Receives the outcome. Called once, and once more when a reply
        /// settles an outcome that was reported as unknown.
        std::function<void(order_outcome)> settle;
    };

    order_coordinator(order wanted, deployment_pointer described,
                      entry_context& context, hooks actions,
                      std::uint64_t seed);

    void start(runtime::time_point now);
    void on_reply(const sub_reply& reply, runtime::time_point now);
    void on_timer(runtime::time_point now);
    [[nodiscard]] std::optional<runtime::time_point> next_timer() const;

    /// Returns whether no reply is awaited any more.
    [[nodiscard]] bool is_finished() const { return is_reported_ && !pending_; }

private:
    void send_next(runtime::time_point now);
    void report(order_status status, std::string reason, std::string body);

    const order wanted_;
    const deployment_pointer deployment_;
    entry_context& context_;
    const hooks actions_;
    std::mt19937_64 random_;
    std::vector<upstream_id> replicas_;
    std::vector<upstream_id> tried_;
    std::optional<request_id> pending_;
    upstream_id target_;
    std::optional<runtime::time_point> retry_at_;
    std::uint32_t refusals_ = 0;
    bool is_reported_ = false;
};

} // namespace tamarackhoist::policy

#endif
