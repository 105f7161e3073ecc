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

/// An entry node of the baseline that the policy is compared with. It sends
/// directly to the upstreams, round robin over the replicas and in order of
/// arrival, without hedging, and retries up to three times.
class baseline_node
{
public:
    baseline_node(simulated_fleet& fleet, std::size_t node_number);

    using answer_hook = std::function<void(policy::query_answer)>;
    using outcome_hook = std::function<void(const policy::order_outcome&)>;

    void run_query(std::size_t request_number, const policy::query& query,
                   answer_hook handle);
    void run_order(std::size_t request_number, const policy::order& order,
                   outcome_hook handle);

private:
    struct query_run {
        policy::query query;
        policy::query_answer answer;
        std::size_t open_parts = 0;
        answer_hook handle;
    };
    using report_hook = std::function<void(policy::upstream_report)>;

    void send_part(std::size_t request_number,
                   const std::shared_ptr<query_run>& run,
                   policy::key_range range, std::size_t shard,
                   std::uint32_t attempt);
    void exchange(std::size_t request_number, policy::sub_request request,
                  report_hook handle);
    static void finish(const std::shared_ptr<query_run>& run);
    void try_order(std::size_t request_number, const policy::order& order,
                   std::uint32_t attempt,
                   const std::shared_ptr<outcome_hook>& pending_handle);
    [[nodiscard]] policy::upstream_id next_replica(const policy::shard& shard);

    simulated_fleet& fleet_;
    const std::size_t node_number_;
    std::uint64_t next_serial_ = 1;
    /// Round robin position in the replicas of each shard, by shard name.
    std::map<std::string, std::size_t> next_replica_;
};

} // namespace tamarackhoist::replay

#endif
