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

/// Runs the requests of callers on this node. Thread-safe.
class entry_service
{
public:
    using answer_handler = std::function<void(policy::query_answer)>;
    using outcome_handler = std::function<void(policy::order_outcome)>;

    entry_service(boost::asio::any_io_executor executor, runtime::clock time,
                  const cluster& members, peer_directory& links,
                  request_router& router, operators::metrics& measured,
                  policy::node_id self, std::uint64_t incarnation);

    void run_query(callers::caller_query wanted, answer_handler handle);

    [[nodiscard]] std::optional<policy::order_ticket>
    issue_ticket(const callers::caller_ticket_request& wanted);

    /// Runs an order here when this incarnation issued its ticket, and
    /// forwards it to the issuer otherwise.
    void run_order(callers::caller_order wanted,
                   const policy::order_ticket& ticket, outcome_handler handle);

    /// Runs an order that another node forwarded.
    void run_forwarded(peers::forwarded_order forwarded,
                       outcome_handler handle);

    [[nodiscard]] policy::entry_context& context() { return context_; }

private:
    void run_here(policy::order wanted, const policy::order_ticket& ticket,
                  outcome_handler handle);
    void forward(const peers::forwarded_order& order, outcome_handler handle);
    void count_query(const cluster_view& view, policy::class_index rank,
                     const policy::query_answer& answer,
                     runtime::duration elapsed);
    void count_order(const policy::order_outcome& outcome);
    [[nodiscard]] std::uint64_t next_seed();

    boost::asio::any_io_executor executor_;
    const runtime::clock time_;
    const cluster& cluster_;
    peer_directory& links_;
    request_router& router_;
    operators::metrics& metrics_;
    const policy::node_id self_;
    const std::uint64_t incarnation_;
    policy::entry_context context_;
    policy::order_ledger ledger_;
    std::atomic<std::uint64_t> next_seed_;
};

} // namespace tamarackhoist::node

#endif
