#ifndef TAMARACKHOIST_REPLAY_BASELINE_NODE_HPP
#define TAMARACKHOIST_REPLAY_BASELINE_NODE_HPP

#include <functional>
#include <map>
#include <memory>
#include <tamarackhoist/policy/order_coordinator.hpp>
#include <tamarackhoist/policy/query.hpp>
#include <tamarackhoist/replay/simulated_fleet.hpp>

namespace tamarackhoist::replay
{

/// What the policy is compared with: each node sends to the upstreams
/// itself, round robin over the replicas, first come first served, without
/// hedges, and retries up to three times.
class baseline_node
{
public:
    baseline_node(simulated_fleet& fleet, std::size_t number);

    using answer_hook = std::function<void(policy::query_answer)>;
    using outcome_hook = std::function<void(const policy::order_outcome&)>;

    void run_query(std::size_t number, const policy::query& wanted,
                   answer_hook handle);
    void run_order(std::size_t number, const policy::order& wanted,
                   outcome_hook handle);

private:
    struct query_run {
        policy::query wanted;
        policy::query_answer answer;
        std::size_t open = 0;
        answer_hook handle;
    };
    using report_hook = std::function<void(policy::upstream_report)>;

    void send_part(std::size_t number, const std::shared_ptr<query_run>& run,
                   policy::key_range range, std::size_t shard,
                   std::uint32_t attempt);
    void exchange(std::size_t number, policy::sub_request request,
                  report_hook handle);
    static void finish(const std::shared_ptr<query_run>& run);
    void try_order(std::size_t number, const policy::order& wanted,
                   std::uint32_t attempt,
                   const std::shared_ptr<outcome_hook>& once);
    [[nodiscard]] policy::upstream_id next_replica(const policy::shard& each);

    simulated_fleet& fleet_;
    const std::size_t number_;
    std::uint64_t next_serial_ = 1;
    /// Round robin position of each shard.
    std::map<std::string, std::size_t> next_replica_;
};

} // namespace tamarackhoist::replay

#endif
