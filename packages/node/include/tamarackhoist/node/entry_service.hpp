#ifndef TAMARACKHOIST_NODE_ENTRY_SERVICE_HPP
#define TAMARACKHOIST_NODE_ENTRY_SERVICE_HPP

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/node/peer_directory.hpp>
#include <tamarackhoist/node/request_router.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/policy/entry_context.hpp>
#include <tamarackhoist/policy/order_coordinator.hpp>
#include <tamarackhoist/policy/order_ledger.hpp>

namespace tamarackhoist::node
{

/// Runs queries and orders for callers, with this node as the entry node.
/// Thread-safe.
class entry_service
{
public:
    using answer_handler = std::function<void(policy::query_answer)>;
    using outcome_handler = std::function<void(policy::order_outcome)>;

    entry_service(boost::asio::any_io_executor executor, runtime::clock clock,
                  const cluster& cluster, peer_directory& directory,
                  request_router& router, operators::metrics& metrics,
                  policy::node_id self, std::uint64_t incarnation);

    /// Runs a query and calls `on_answer` once with its answer. A configuration
    /// must be in force.
    void run_query(callers::caller_query request, answer_handler on_answer);

    /// Issues a ticket for one order, or returns nothing when too many tickets
    /// are outstanding.
    [[nodiscard]] std::optional<policy::order_ticket>
    issue_ticket(const callers::caller_ticket_request& request);

    /// Runs the order on this node if this incarnation of the node issued its
    /// ticket; otherwise forwards it to the node that issued the ticket.
    void run_order(callers::caller_order request,
                   const policy::order_ticket& ticket,
                   outcome_handler on_outcome);

    /// Runs an order forwarded by another node. Its outcome is unknown if this
    /// incarnation of the node did not issue its ticket.
    void run_forwarded_order(peers::forwarded_order forwarded,
                             outcome_handler on_outcome);

    [[nodiscard]] policy::entry_context& entry_context()
    {
        return entry_context_;
    }

private:
    void run_locally(policy::order order, const policy::order_ticket& ticket,
                     outcome_handler on_outcome);
    void forward_order(const peers::forwarded_order& order,
                       outcome_handler on_outcome);
    void record_query_metrics(const cluster_view& view,
                              policy::class_index rank,
                              const policy::query_answer& answer,
                              runtime::duration elapsed);
    void record_order_metrics(const policy::order_outcome& outcome);
    [[nodiscard]] std::uint64_t next_seed();

    boost::asio::any_io_executor executor_;
    const runtime::clock clock_;
    const cluster& cluster_;
    peer_directory& peer_directory_;
    request_router& router_;
    operators::metrics& metrics_;
    const policy::node_id self_;
    const std::uint64_t incarnation_;
    policy::entry_context entry_context_;
    policy::order_ledger ledger_;
    std::atomic<std::uint64_t> next_seed_;
};

} // namespace tamarackhoist::node

#endif
