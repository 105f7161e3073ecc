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

/// Who decides in a replay.
enum class policy_kind {
    /// The policy of the product.
    product,
    /// Round robin, first come first served, no hedges, three retries.
    baseline
};

/// The fleet of one replay: nodes with the real policy, fake upstreams, and
/// links with a delay that can be cut. The nodes' views of each other follow
/// the events of the trace with a fixed detection time; membership itself is
/// tested in its own package.
class simulated_fleet
{
public:
    simulated_fleet(const fleet_shape& shape,
                    std::vector<policy::priority_class> classes,
                    policy_kind kind);
    ~simulated_fleet();

    /// Schedules every arrival and event of a trace.
    void schedule(const trace& wanted);

    void run_until(runtime::time_point end) { scheduler_.run_until(end); }

    /// Starts one query over `ranges` at a node chosen by the balancer.
    void start_query(policy::class_index rank, policy::key_range_set ranges);

    /// Starts one order: a ticket, the order, and retries at other nodes
    /// while no outcome is known.
    void start_order(policy::class_index rank);

    /// Applies the beginning or the end of an event to one target.
    void apply(const trace_event& event, std::size_t target, bool is_begin);

    // What nodes and upstreams need of the fleet.
    [[nodiscard]] runtime::virtual_scheduler& scheduler() { return scheduler_; }
    [[nodiscard]] invariant_checker& ledger() { return ledger_; }
    [[nodiscard]] const fleet_shape& shape() const { return shape_; }
    [[nodiscard]] policy::deployment_pointer deployment() const
    {
        return deployment_;
    }
    [[nodiscard]] fake_upstream& upstream(policy::upstream_id id);
    /// Returns every upstream, those of the index first.
    [[nodiscard]] const std::vector<policy::upstream>& described() const
    {
        return described_;
    }
    [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
    [[nodiscard]] simulated_node& node(std::size_t number)
    {
        return *nodes_[number];
    }
    [[nodiscard]] std::optional<std::size_t>
    number_of(policy::node_id id) const;

    using action = std::function<void()>;

    /// Runs `deliver` at node `to` after the link's delay. While the link is
    /// cut the message waits, as TCP would send it again. `drop` runs when
    /// the receiving process is gone.
    void send(std::size_t from, std::size_t to, action deliver, action drop);

    /// Runs `work` at a node after `delay`, or when the node resumes.
    void at_node(std::size_t number, runtime::duration delay, action work,
                 action drop = {});

    /// Returns whether the failure domains are connected now.
    [[nodiscard]] bool is_connected(std::size_t left_domain,
                                    std::size_t right_domain) const;
    [[nodiscard]] std::size_t domain_of(std::size_t node) const
    {
        return node % shape_.domains;
    }
    [[nodiscard]] std::size_t domain_of(const policy::upstream& each) const;

    /// Calls into the policy, or into the baseline.
    void count_decision() { ++decisions_; }
    [[nodiscard]] std::uint64_t decisions() const { return decisions_; }

    /// Distance between two keys that hold an item.
    [[nodiscard]] static policy::key grid_step(const fleet_shape& shape);

private:
    struct order_attempt {
        std::size_t number = 0;
        std::optional<policy::order_ticket> ticket;
        policy::class_index rank = 0;
        std::uint32_t attempt = 0;
        policy::order_outcome last;
    };

    [[nodiscard]] static policy::key_range_set key_range_set_of_everything();
    void build_deployment();
    [[nodiscard]] policy::deployment_pointer make_deployment() const;
    void build_upstreams(std::uint64_t seed);
    void schedule_arrivals(const arrivals& work, double capacity,
                           std::uint64_t seed);
    void schedule_event(const trace_event& event);
    void apply_rollover(const trace_event& event);
    void split_shard(std::size_t number);
    void publish(policy::deployment_pointer next);
    void pause_node(std::size_t number, runtime::time_point until);
    void replace_node(std::size_t number);
    void cut_off(std::size_t domain, bool is_cut);
    void refresh_views();
    [[nodiscard]] std::size_t pick_node();
    void try_order(const std::shared_ptr<order_attempt>& tried);
    void send_order(const std::shared_ptr<order_attempt>& tried,
                    std::size_t at);
    void on_order_end(const std::shared_ptr<order_attempt>& tried,
                      const policy::order_outcome& told);

    const fleet_shape shape_;
    const std::vector<policy::priority_class> classes_;
    const policy_kind kind_;
    runtime::virtual_scheduler scheduler_;
    invariant_checker ledger_;
    std::mt19937_64 random_;
    policy::deployment_pointer deployment_;
    std::vector<policy::upstream> described_;
    std::vector<policy::shard> shards_;
    std::unordered_map<policy::upstream_id, std::unique_ptr<fake_upstream>>
        upstreams_;
    std::vector<std::unique_ptr<simulated_node>> nodes_;
    std::vector<std::unique_ptr<baseline_node>> baselines_;
    std::vector<std::unique_ptr<simulated_node>> replaced_;
    /// Failure domains that are cut off.
    std::vector<bool> is_cut_;
    std::vector<runtime::time_point> heals_at_;
    std::uint64_t epoch_ = 1;
    std::uint64_t decisions_ = 0;
};

} // namespace tamarackhoist::replay

#endif
