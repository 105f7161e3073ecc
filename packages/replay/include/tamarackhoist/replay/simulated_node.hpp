#ifndef TAMARACKHOIST_REPLAY_SIMULATED_NODE_HPP
#define TAMARACKHOIST_REPLAY_SIMULATED_NODE_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <tamarackhoist/policy/entry_context.hpp>
#include <tamarackhoist/policy/order_coordinator.hpp>
#include <tamarackhoist/policy/order_ledger.hpp>
#include <tamarackhoist/policy/pause_guard.hpp>
#include <tamarackhoist/policy/query_coordinator.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/replay/simulated_fleet.hpp>

namespace tamarackhoist::replay
{

/// A node of the simulated fleet: the classes of the policy, connected by
/// simulated links.
class simulated_node
{
public:
    simulated_node(simulated_fleet& fleet, std::size_t node_number,
                   std::uint64_t incarnation);

    using answer_hook = std::function<void(policy::query_answer)>;
    using outcome_hook = std::function<void(const policy::order_outcome&)>;

    void run_query(std::size_t request_number, policy::query query,
                   answer_hook handle);
    [[nodiscard]] std::optional<policy::order_ticket> issue_ticket();
    void run_order(std::size_t request_number, policy::order order,
                   const policy::order_ticket& ticket,
                   const outcome_hook& handle);

    /// Handles a sub-request that node `from` sent to this node as the owner of
    /// its target. `sent_at` is the time of sending: the protocol transmits a
    /// deadline as the remaining time, so the deadline moves by the time on the
    /// link.
    void submit(std::size_t from, std::size_t request_number,
                policy::sub_request request, runtime::time_point sent_at);
    void cancel(policy::request_id id, policy::upstream_id target);

    /// Sets the incarnation of each node, by node number, that this node
    /// believes to be alive; 0 means that the node is not alive.
    void set_membership_view(std::vector<std::uint64_t> alive);
    void set_deployment(policy::deployment_pointer deployment);

    /// Fails all open sub-requests to `peer` after the connection to it broke.
    void on_peer_disconnected(std::size_t peer);

    void pause_until(runtime::time_point until) { paused_until_ = until; }
    [[nodiscard]] runtime::time_point paused_until() const
    {
        return paused_until_;
    }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] policy::node_id id() const { return id_; }

    /// Closes all connections to upstreams, as the end of the process does.
    void close_connections();

    /// Passes the current time to the pause guard, as a running process does at
    /// regular intervals.
    void observe_clock();
    /// Reads the health endpoint of every owned upstream.
    void check_upstream_health();

private:
    void check_health(policy::upstream_id target);

    struct owned_upstream {
        std::unique_ptr<policy::upstream_owner> owner;
        /// Number of the caller request and of the entry node of each open
        /// sub-request.
        std::map<policy::request_id, std::pair<std::size_t, std::size_t>>
            origins;
        runtime::time_point connected_at;
        std::optional<runtime::time_point> timer_due_at;
        std::uint32_t connections = 0;
        bool is_released = false;
    };
    template <typename Coordinator>
    struct coordinator_run {
        std::unique_ptr<Coordinator> coordinator;
        std::optional<runtime::time_point> timer_due_at;
    };
    using query_run = coordinator_run<policy::query_coordinator>;
    using order_run = coordinator_run<policy::order_coordinator>;
    /// A sub-request that was sent to the owner of its target.
    struct open_call {
        std::size_t request_number;
        std::size_t owner_number;
        bool is_order;
    };

    void send_to_owner(std::size_t request_number,
                       const policy::sub_request& request, bool is_order);
    void on_reply(const policy::sub_reply& reply);
    void fail_sub_request(policy::request_id id);
    /// Schedules the next timer of one query or order, unless one that is due
    /// no later is already scheduled.
    template <typename Run>
    void schedule_timer(std::map<std::size_t, Run>& runs,
                        std::size_t request_number);
    void schedule_owner_timer(policy::upstream_id target);
    void take_over_upstream(const policy::upstream& description);
    [[nodiscard]] bool can_start_work(runtime::time_point at);
    void release_upstream(policy::upstream_id target);
    void update_ownership();
    void dispatch(policy::upstream_id target,
                  const policy::sub_request& request);
    void send_to_upstream(policy::upstream_id target,
                          std::size_t request_number,
                          const policy::sub_request& request);
    void handle_report(policy::upstream_id target, policy::request_id id,
                       policy::upstream_report outcome);
    void claim_and_run_order(std::size_t request_number, policy::order order,
                             const policy::order_ticket& ticket,
                             const outcome_hook& handle);
    [[nodiscard]] runtime::time_point now() const;
    [[nodiscard]] runtime::duration
    upstream_delay(const policy::upstream& upstream) const;

    simulated_fleet& fleet_;
    const std::size_t node_number_;
    const policy::node_id id_;
    const std::uint64_t incarnation_;
    runtime::time_point paused_until_;
    policy::entry_context context_;
    policy::order_ledger ledger_;
    policy::pause_guard guard_;
    policy::deployment_pointer deployment_;
    std::vector<std::uint64_t> live_incarnations_;
    policy::ownership owners_;
    std::map<policy::upstream_id, owned_upstream> owned_upstreams_;
    std::map<std::size_t, query_run> queries_;
    std::map<std::size_t, order_run> orders_;
    std::unordered_map<policy::request_id, open_call> open_calls_;
    std::uint64_t next_seed_;
};

} // namespace tamarackhoist::replay

#endif
