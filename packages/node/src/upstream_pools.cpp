#include <tamarackhoist/node/upstream_pools.hpp>

#include <algorithm>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using policy::registered_upstream;
using runtime::event_number;

namespace
{

/// Connections that are kept open in advance to each upstream that this node
/// calls without a relay.
constexpr std::size_t own_domain_warm_connections = 1;

} // namespace

upstream_pools::upstream_pools(boost::asio::io_context& context,
                               runtime::clock clock, std::string failure_domain,
                               std::size_t spare_nodes,
                               std::string request_id_field)
    : context_(context), clock_(std::move(clock)),
      failure_domain_(std::move(failure_domain)), spare_nodes_(spare_nodes),
      request_id_field_(std::move(request_id_field))
{
}

bool upstream_pools::is_in_own_domain(const registered_upstream& upstream) const
{
    return upstream.failure_domain == failure_domain_;
}

std::size_t
upstream_pools::connection_share(const registered_upstream& upstream) const
{
    const auto* settings =
        routes_ ? routes_->find_service(upstream.service) : nullptr;
    const auto max_connections =
        settings != nullptr ? settings->max_connections : 1U;
    // An upstream receives fan-outs from nodes in its own failure domain;
    // other nodes connect to it only if that domain has no live node, or for
    // requests to a single service.
    const auto domain_nodes = nodes_by_domain_.find(upstream.failure_domain);
    const auto count =
        is_in_own_domain(upstream) && domain_nodes != nodes_by_domain_.end()
            ? domain_nodes->second
            : node_count_;
    return std::max<std::size_t>(1, max_connections / (count + spare_nodes_));
}

std::size_t
upstream_pools::warm_connection_count(const registered_upstream& upstream) const
{
    return is_in_own_domain(upstream) && !uses_relays_
               ? own_domain_warm_connections
               : 0;
}

void upstream_pools::open(const registered_upstream& upstream)
{
    runtime::log_line(event_number::upstream_added)
        .add("upstream", upstream.id)
        .add("service", upstream.service)
        .add("address", upstream.address + ":" + std::to_string(upstream.port))
        .add("failure_domain", upstream.failure_domain)
        .add("revision", upstream.revision);
    const upstreams::forward_pool::options options{
        .connection = {.target = {upstream.address, upstream.port},
                       .request_id_field = request_id_field_},
        .max_connections = [this,
                            upstream] { return connection_share(upstream); },
        .warm_connections =
            [this, upstream] {
                return warm_connection_count(upstream);
            }};
    const auto pool =
        std::make_shared<upstreams::forward_pool>(context_, clock_, options);
    pools_[upstream.id] = pool;
    if (!upstream.is_draining) {
        pool->warm();
    }
}

void upstream_pools::close(const registered_upstream& upstream)
{
    runtime::log_line(event_number::upstream_gone)
        .add("upstream", upstream.id)
        .add("service", upstream.service);
    const auto found = pools_.find(upstream.id);
    if (found == pools_.end()) {
        return;
    }
    const auto pool = found->second;
    pools_.erase(found);
    pool->retire();
}

std::shared_ptr<upstreams::forward_pool>
upstream_pools::find(std::string_view upstream) const
{
    const auto found = pools_.find(upstream);
    return found == pools_.end() ? nullptr : found->second;
}

void upstream_pools::set_routes(
    std::shared_ptr<const policy::routing_table> routes)
{
    routes_ = std::move(routes);
}

void upstream_pools::set_live_nodes(node_counts by_domain, bool uses_relays)
{
    nodes_by_domain_ = std::move(by_domain);
    uses_relays_ = uses_relays;
    node_count_ = 0;
    for (const auto& [domain, count] : nodes_by_domain_) {
        node_count_ += count;
    }
}

std::size_t upstream_pools::connection_count() const
{
    std::size_t count = 0;
    for (const auto& [id, pool] : pools_) {
        count += pool->connection_count();
    }
    return count;
}

} // namespace tamarackhoist::node
