#ifndef TAMARACKHOIST_NODE_FORWARDING_HPP
#define TAMARACKHOIST_NODE_FORWARDING_HPP

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <tamarackhoist/callers/forward_exchange.hpp>
#include <tamarackhoist/node/forward_fields.hpp>
#include <tamarackhoist/node/relay_client.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/policy/forward_context.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/upstreams/forward_pool.hpp>

namespace tamarackhoist::node
{

/// What forwarded requests of one node share. All of it is used on the
/// thread of the `io_context`.
struct forwarding {
    boost::asio::io_context& io_context;
    runtime::clock clock;
    forward_fields fields;
    runtime::duration caller_delay;
    policy::forward_context& context;
    const policy::upstream_directory& directory;
    policy::domain_reach& reach;
    operators::metrics& metrics;
    /// Returns the connections to an upstream, or nullptr if it is gone.
    std::function<std::shared_ptr<upstreams::forward_pool>(
        const std::string& upstream)>
        pool_of;
    /// Nullptr for a node without peers.
    relay_client* relays = nullptr;
};

/// Forwards one request and answers it. `routes` is the configuration that
/// `of` belongs to; the request stays with it to its end.
void forward(const std::shared_ptr<forwarding>& shared,
             std::shared_ptr<const policy::routing_table> routes,
             const policy::route& of,
             std::shared_ptr<callers::forward_exchange> exchange);

/// Returns a refusal that promises that nothing was executed and names when
/// to come back.
[[nodiscard]] callers::forward_answer make_not_executed();

} // namespace tamarackhoist::node

#endif
