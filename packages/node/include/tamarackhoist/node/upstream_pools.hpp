#ifndef TAMARACKHOIST_NODE_UPSTREAM_POOLS_HPP
#define TAMARACKHOIST_NODE_UPSTREAM_POOLS_HPP

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/upstreams/forward_pool.hpp>

namespace tamarackhoist::node
{

/// The connection pools of this node, one for each upstream. Each node uses
/// only its share of the connections that an upstream accepts from the fleet.
class upstream_pools
{
public:
    /// Number of live nodes by failure domain.
    using node_counts = std::map<std::string, std::size_t, std::less<>>;

    upstream_pools(boost::asio::io_context& context, runtime::clock clock,
                   std::string failure_domain, std::size_t spare_nodes,
                   std::string request_id_field);

    /// Creates the pool of an upstream and warms it unless it is draining.
    void open(const policy::registered_upstream& upstream);
    /// Retires the pool of an upstream.
    void close(const policy::registered_upstream& upstream);

    /// Returns the pool of an upstream, or nullptr if there is none.
    [[nodiscard]] std::shared_ptr<upstreams::forward_pool>
    find(std::string_view upstream) const;

    void set_routes(std::shared_ptr<const policy::routing_table> routes);

    /// Sets the number of live nodes in each failure domain, this node
    /// included. `uses_relays` states whether this node sends fan-outs within
    /// its own failure domain through relays.
    void set_live_nodes(node_counts by_domain, bool uses_relays);

    /// Returns the number of connections in all pools.
    [[nodiscard]] std::size_t connection_count() const;

private:
    [[nodiscard]] bool
    is_in_own_domain(const policy::registered_upstream& upstream) const;
    [[nodiscard]] std::size_t
    connection_share(const policy::registered_upstream& upstream) const;
    [[nodiscard]] std::size_t
    warm_connection_count(const policy::registered_upstream& upstream) const;

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    const std::string failure_domain_;
    const std::size_t spare_nodes_;
    const std::string request_id_field_;
    std::shared_ptr<const policy::routing_table> routes_;
    node_counts nodes_by_domain_;
    std::size_t node_count_ = 1;
    bool uses_relays_ = false;
    std::map<std::string, std::shared_ptr<upstreams::forward_pool>, std::less<>>
        pools_;
};

} // namespace tamarackhoist::node

#endif
