#ifndef TAMARACKHOIST_REPLAY_SIMULATED_FLEET_HPP
#define TAMARACKHOIST_REPLAY_SIMULATED_FLEET_HPP

#include <functional>
#include <memory>
#include <random>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/replay/fake_upstream.hpp>
#include <tamarackhoist/replay/invariant_checker.hpp>
#include <tamarackhoist/replay/trace.hpp>
#include <tamarackhoist/runtime/virtual_scheduler.hpp>
#include <vector>

namespace tamarackhoist::replay
{

class simulated_node;
class baseline_node;

/// The policy that decides in a replay.
enum class policy_kind {
    /// The product's own policy.
    product,
    /// Round robin, in order of arrival, without hedging, three retries.
    baseline
};

/// Deterministic simulation of a fleet: nodes that run the real policy, fake
/// upstreams, and network links with a delay, which partitions can cut.
/// Membership is not simulated, since it is tested in its own package: the
/// membership views of the nodes follow the events of the trace after a fixed
/// detection time.
class simulated_fleet
{
public:
    simulated_fleet(const fleet_shape& shape,
                    std::vector<policy::priority_class> classes,
                    policy_kind kind);
    ~simulated_fleet();

    /// Schedules all arrivals and events of a trace.
    void schedule(const trace& recorded_trace);

    void run_until(runtime::time_point end) { scheduler_.run_until(end); }

    /// Starts a query over `ranges` at a random node, as a load balancer in
    /// front of the fleet would.
    void start_query(policy::class_index rank, policy::key_range_set ranges);

    /// Starts an order at a random node: requests a ticket, sends the order,
    /// and retries at other random nodes until the order is known to have run
    /// or the attempts are used up.
    void start_order(policy::class_index rank);

    /// Starts or ends the effect of an event on one target.
    void apply_event(const trace_event& event, std::size_t target,
                     bool is_begin);

    // Used by the nodes and by tests.
    [[nodiscard]] runtime::virtual_scheduler& scheduler() { return scheduler_; }
    [[nodiscard]] invariant_checker& checker() { return checker_; }
    [[nodiscard]] const fleet_shape& shape() const { return shape_; }
    [[nodiscard]] policy::deployment_pointer deployment() const
    {
        return deployment_;
    }
    [[nodiscard]] fake_upstream& upstream(policy::upstream_id id);
    /// Returns all upstreams, those of the index before those of orders.
    [[nodiscard]] const std::vector<policy::upstream>&
    upstream_descriptions() const
    {
        return upstream_descriptions_;
    }
    [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
    [[nodiscard]] simulated_node& node(std::size_t number)
    {
        return *nodes_[number];
    }
    [[nodiscard]] std::optional<std::size_t>
    find_node_number(policy::node_id id) const;

    using action = std::function<void()>;

    /// Runs `deliver` at node `to` after the link's delay. While the link is
    /// cut the message is delayed, as TCP would retransmit it. `on_drop` runs
    /// if the receiving process is replaced first, or at the sender if the link
    /// stays cut for too long.
    void send(std::size_t from, std::size_t to, action deliver, action on_drop);

    /// Runs `task` at a node after `delay`, or when the node resumes if it is
    /// paused then. `on_drop` runs instead if the process is replaced first.
    void run_at_node(std::size_t number, runtime::duration delay, action task,
                     action on_drop = {});

    /// Returns whether nodes in the two failure domains can reach each other at
    /// present.
    [[nodiscard]] bool is_connected(std::size_t left_domain,
                                    std::size_t right_domain) const;
    [[nodiscard]] std::size_t domain_of(std::size_t node) const
    {
        return node % shape_.domains;
    }
    [[nodiscard]] std::size_t domain_of(const policy::upstream& each) const;

    /// Counts a call into the policy or into the baseline.
    void count_decision() { ++decisions_; }
    [[nodiscard]] std::uint64_t decisions() const { return decisions_; }

    /// Returns the distance between two neighbouring keys with an item.
    [[nodiscard]] static policy::key grid_step(const fleet_shape& shape);

private:
    /// State of a caller's order across its attempts.
    struct order_progress {
        /// Request number in the invariant checker.
        std::size_t request_number = 0;
        std::optional<policy::order_ticket> ticket;
        policy::class_index rank = 0;
        std::uint32_t attempt = 0;
        policy::order_outcome last_outcome;
    };

    [[nodiscard]] static policy::key_range_set whole_key_range_set();
    void build_deployment();
    [[nodiscard]] policy::deployment_pointer make_deployment() const;
    void build_upstreams(std::uint64_t seed);
    void schedule_arrivals(const arrival_process& arrivals, double capacity,
                           std::uint64_t seed);
    void schedule_event(const trace_event& event);
    void apply_rollover(const trace_event& event);
    void split_shard(std::size_t number);
    void publish_deployment(policy::deployment_pointer next);
    void pause_node(std::size_t number, runtime::time_point until);
    void replace_node(std::size_t number);
    void set_partitioned(std::size_t domain, bool is_partitioned);
    void refresh_membership_views();
    [[nodiscard]] std::size_t pick_random_node();
    void try_order(const std::shared_ptr<order_progress>& progress);
    void send_order(const std::shared_ptr<order_progress>& progress,
                    std::size_t node_number);
    void on_order_attempt_end(const std::shared_ptr<order_progress>& progress,
                              const policy::order_outcome& outcome);

    const fleet_shape shape_;
    const std::vector<policy::priority_class> classes_;
    const policy_kind kind_;
    runtime::virtual_scheduler scheduler_;
    invariant_checker checker_;
    std::mt19937_64 random_;
    policy::deployment_pointer deployment_;
    std::vector<policy::upstream> upstream_descriptions_;
    std::vector<policy::shard> shards_;
    std::unordered_map<policy::upstream_id, std::unique_ptr<fake_upstream>>
        upstreams_;
    std::vector<std::unique_ptr<simulated_node>> nodes_;
    std::vector<std::unique_ptr<baseline_node>> baseline_nodes_;
    /// Replaced nodes, kept for callbacks that still refer to them.
    std::vector<std::unique_ptr<simulated_node>> replaced_nodes_;
    /// Whether each failure domain is cut off from the others.
    std::vector<bool> is_partitioned_;
    /// When the partition of each failure domain ends.
    std::vector<runtime::time_point> partition_ends_;
    std::uint64_t epoch_ = 1;
    std::uint64_t decisions_ = 0;
};

} // namespace tamarackhoist::replay

#endif
