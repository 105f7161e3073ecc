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

/// One node of a replay: the policy's classes, wired to virtual links.
class simulated_node
{
public:
    simulated_node(simulated_fleet& fleet, std::size_t number,
                   std::uint64_t incarnation);

    using answer_hook = std::function<void(policy::query_answer)>;
    using outcome_hook = std::function<void(const policy::order_outcome&)>;

    void run_query(std::size_t number, policy::query wanted,
                   answer_hook handle);
    [[nodiscard]] std::optional<policy::order_ticket> issue_ticket();
    void run_order(std::size_t number, policy::order wanted,
                   const policy::order_ticket& ticket,
                   const outcome_hook& handle);

    /// Takes a sub-request that another node sent to this one as the owner.
    /// `sent_at` is when it was sent: a deadline travels as remaining time.
    void submit(std::size_t from, std::size_t number,
                policy::sub_request request, runtime::time_point sent_at);
    void cancel(policy::request_id id, policy::upstream_id target);

    /// Which incarnations of the other nodes are believed alive; 0 is none.
    void set_view(std::vector<std::uint64_t> alive);
    void set_deployment(policy::deployment_pointer described);

    /// The connection to a node broke: calls to it have no reply any more.
    void on_peer_lost(std::size_t peer);

    void pause_until(runtime::time_point until) { paused_until_ = until; }
    [[nodiscard]] runtime::time_point paused_until() const
    {
        return paused_until_;
    }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] policy::node_id id() const { return id_; }
    [[nodiscard]] policy::pause_guard& guard() { return guard_; }

    /// Closes every connection to upstreams, when the process ends.
    void close_connections();

    /// Observes the clock, as a running process does all the time.
    void tick();
    /// Reads the health endpoint of every owned upstream.
    void read_health();

private:
    void read_health_of(policy::upstream_id target);

    struct owned_upstream {
        std::unique_ptr<policy::upstream_owner> owner;
        /// Caller request and entry node of each open sub-request.
        std::map<policy::request_id, std::pair<std::size_t, std::size_t>>
            origins;
        runtime::time_point connected_at;
        std::optional<runtime::time_point> armed_for;
        std::uint32_t connections = 0;
        bool is_released = false;
    };
    template <typename Coordinator>
    struct coordinator_run {
        std::unique_ptr<Coordinator> coordinator;
        std::optional<runtime::time_point> armed_for;
    };
    using query_run = coordinator_run<policy::query_coordinator>;
    using order_run = coordinator_run<policy::order_coordinator>;
    struct open_call {
        std::size_t number;
        std::size_t owner;
        bool is_order;
    };

    void route(std::size_t number, const policy::sub_request& request,
               bool is_order);
    void on_reply(const policy::sub_reply& reply);
    void fail_call(policy::request_id id);
    /// Schedules the next timer of one query or order.
    template <typename Run>
    void arm(std::map<std::size_t, Run>& runs, std::size_t number);
    void arm_owner(policy::upstream_id target);
    void take_over(const policy::upstream& described);
    [[nodiscard]] bool may_start(runtime::time_point at);
    void release(policy::upstream_id target);
    void apply_view();
    void dispatch(policy::upstream_id target,
                  const policy::sub_request& request);
    void write(policy::upstream_id target, std::size_t number,
               const policy::sub_request& request);
    void report(policy::upstream_id target, policy::request_id id,
                policy::upstream_report outcome);
    void run_claimed(std::size_t number, policy::order wanted,
                     const policy::order_ticket& ticket,
                     const outcome_hook& handle);
    [[nodiscard]] runtime::time_point now() const;
    [[nodiscard]] runtime::duration
    upstream_delay(const policy::upstream& each) const;

    simulated_fleet& fleet_;
    const std::size_t number_;
    const policy::node_id id_;
    const std::uint64_t incarnation_;
    runtime::time_point paused_until_;
    policy::entry_context context_;
    policy::order_ledger ledger_;
    policy::pause_guard guard_;
    policy::deployment_pointer deployment_;
    std::vector<std::uint64_t> alive_;
    policy::ownership owners_;
    std::map<policy::upstream_id, owned_upstream> owned_;
    std::map<std::size_t, query_run> queries_;
    std::map<std::size_t, order_run> orders_;
    std::unordered_map<policy::request_id, open_call> calls_;
    std::uint64_t next_seed_;
};

} // namespace tamarackhoist::replay

#endif
