#ifndef TAMARACKHOIST_NODE_FORWARDING_HPP
#define TAMARACKHOIST_NODE_FORWARDING_HPP

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
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

class forwarded_request;

/// State and services that all forwarded requests of a node share. Must be
/// used only on the thread that runs `io_context`.
struct forwarding {
    boost::asio::io_context& io_context;
    runtime::clock clock;
    forward_fields fields;
    /// One-way network delay between a caller and this node.
    runtime::duration caller_delay;
    policy::forward_context& context;
    policy::upstream_directory& directory;
    policy::domain_reach& reach;
    operators::metrics& metrics;
    /// Returns the connection pool of an upstream, or nullptr if the upstream
    /// is not registered any more.
    std::function<std::shared_ptr<upstreams::forward_pool>(
        const std::string& upstream)>
        find_pool;
    /// Null for a node without peers.
    relay_client* relays = nullptr;
    /// Requests that exist, including those that have ended and whose last
    /// handlers are still to be called.
    std::set<forwarded_request*> requests = {};
};

/// Forwards one request and answers it. `routes` is the table that contains
/// `route`; it is kept alive until the request has ended.
void forward(const std::shared_ptr<forwarding>& shared,
             std::shared_ptr<const policy::routing_table> routes,
             const policy::route& route,
             std::shared_ptr<callers::forward_exchange> exchange);

/// Answers every open request with what is known of it, because the node stops.
void end_requests(const forwarding& shared);

/// Returns a 503 answer, which promises that the request was not executed, with
/// a randomised Retry-After of 0.1 to 0.3 seconds after `earliest_return`, the
/// time until an upstream takes requests again.
[[nodiscard]] callers::forward_answer
make_not_executed_answer(runtime::duration earliest_return = {});

} // namespace tamarackhoist::node

#endif
