#include <tamarackhoist/node/upstream_pools.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>
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
                               runtime::clock clock, options options,
                               operators::metrics& metrics)
    : context_(context), clock_(std::move(clock)), options_(std::move(options)),
      metrics_(metrics),
      response_budget_(std::make_shared<upstreams::response_budget>(
          options_.max_response_memory))
{
}

bool upstream_pools::is_in_own_domain(const registered_upstream& upstream) const
{
    return upstream.failure_domain == options_.failure_domain;
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
    return std::max<std::size_t>(1, max_connections /
                                        (count + options_.spare_nodes));
}

std::size_t
upstream_pools::warm_connection_count(const registered_upstream& upstream) const
{
    return is_in_own_domain(upstream) && !uses_relays_
               ? own_domain_warm_connections
               : 0;
}

void upstream_pools::open(const policy::upstream_handle& handle)
{
    const auto& upstream = handle->registration;
    runtime::log_line(event_number::upstream_added)
        .add("upstream", upstream.id)
        .add("service", upstream.service)
        .add("address", upstream.address + ":" + std::to_string(upstream.port))
        .add("failure_domain", upstream.failure_domain)
        .add("era", upstream.position.era())
        .add("revision", upstream.position.revision());
    if (is_stopped_) {
        return;
    }
    const upstreams::forward_pool::options options{
        .connection = make_connection_options(handle),
        .max_connections = [this,
                            upstream] { return connection_share(upstream); },
        .warm_connections =
            [this, upstream] { return warm_connection_count(upstream); },
        .may_send =
            [this, handle] {
                return handle->permission(clock_.now()).is_granted();
            },
        .on_sent =
            [this, handle] {
                handle->pause.record_sent(clock_.now());
            }};
    const auto pool =
        std::make_shared<upstreams::forward_pool>(context_, clock_, options);
    pools_[upstream.id] = pool;
    pool->warm();
}

void upstream_pools::apply_permission(const registered_upstream& upstream)
{
    if (const auto pool = find(upstream.id)) {
        // The caller may be handling a response of this pool.
        boost::asio::post(context_, [pool] { pool->apply_permission(); });
    }
}

upstreams::forward_connection::options upstream_pools::make_connection_options(
    const policy::upstream_handle& handle) const
{
    const auto& upstream = handle->registration;
    return {
        .target = {upstream.address, upstream.port},
        .responses = {.request_id_field = options_.request_id_field,
                      .service = upstream.service,
                      .budget = response_budget_,
                      .on_head =
                          [this, handle](const transport::http_response& head) {
                              options_.on_head(*handle, head);
                          }},
        .on_rejected = [this, upstream](upstreams::response_fault fault) {
            record_rejection(upstream, fault);
        }};
}

void upstream_pools::record_rejection(const registered_upstream& upstream,
                                      upstreams::response_fault fault) const
{
    const std::string name(upstreams::to_string(fault));
    metrics_.count(
        {"tamarackhoist_responses_rejected_total", "fault=\"" + name + "\""});
    runtime::log_line(event_number::upstream_response_rejected)
        .add("upstream", upstream.id)
        .add("service", upstream.service)
        .add("fault", name);
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

void upstream_pools::stop()
{
    is_stopped_ = true;
    for (const auto& [id, pool] : std::exchange(pools_, {})) {
        pool->retire();
    }
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
