#include <tamarackhoist/node/upstream_pools.hpp>

#include <algorithm>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using policy::registered_upstream;
using runtime::event_number;

namespace
{

/// Connections that are opened ahead of need to an upstream that this node
/// reaches itself.
constexpr std::size_t warm_connections = 1;

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

bool upstream_pools::is_near(const registered_upstream& upstream) const
{
    return upstream.failure_domain == failure_domain_;
}

std::size_t
upstream_pools::connection_share(const registered_upstream& upstream) const
{
    const auto* known =
        routes_ ? routes_->find_service(upstream.service) : nullptr;
    const auto cap = known != nullptr ? known->max_connections : 1U;
    // Parts of fan-outs reach an upstream from its own failure domain only;
    // other nodes connect when no node is there, or for other requests.
    const auto near = nodes_by_domain_.find(upstream.failure_domain);
    const auto count = is_near(upstream) && near != nodes_by_domain_.end()
                           ? near->second
                           : node_count_;
    return std::max<std::size_t>(1, cap / (count + spare_nodes_));
}

std::size_t
upstream_pools::warm_share(const registered_upstream& upstream) const
{
    return is_near(upstream) && !passes_on_ ? warm_connections : 0;
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
                return warm_share(upstream);
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

void upstream_pools::set_nodes(node_counts by_domain, bool passes_on)
{
    nodes_by_domain_ = std::move(by_domain);
    passes_on_ = passes_on;
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
