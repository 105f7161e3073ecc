#ifndef TAMARACKHOIST_NODE_UPSTREAM_POOLS_HPP
#define TAMARACKHOIST_NODE_UPSTREAM_POOLS_HPP

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/upstreams/forward_pool.hpp>
#include <tamarackhoist/upstreams/response_budget.hpp>

namespace tamarackhoist::node
{

/// The connection pools of this node, one for each upstream. Each node uses
/// only its share of the connections that an upstream accepts from the fleet.
class upstream_pools
{
public:
    /// Number of live nodes by failure domain.
    using node_counts = std::map<std::string, std::size_t, std::less<>>;

    struct options {
        /// Failure domain of this node.
        std::string failure_domain;
        /// Nodes that may join the fleet at any time.
        std::size_t spare_nodes = 0;
        /// Name of the response header field that repeats the request ID.
        std::string request_id_field;
        /// Limit of the memory for unfinished responses, in bytes.
        std::size_t max_response_memory = 0;
        /// Called with the head of each response of an upstream.
        std::function<void(policy::tracked_upstream&,
                           const transport::http_response&)>
            on_head;
    };

    /// `metrics` must outlive this object.
    upstream_pools(boost::asio::io_context& context, runtime::clock clock,
                   options options, operators::metrics& metrics);

    /// Creates the pool of an upstream and warms it if the upstream takes
    /// requests.
    void open(const policy::upstream_handle& handle);
    /// Moves queued requests away from an upstream that takes none any more.
    void apply_permission(const policy::registered_upstream& upstream);
    /// Retires the pool of an upstream.
    void close(const policy::registered_upstream& upstream);

    /// Retires all pools and opens no further ones: this node sends nothing
    /// more to any upstream.
    void stop();

    /// Returns the pool of an upstream, or nullptr if there is none.
    [[nodiscard]] std::shared_ptr<upstreams::forward_pool>
    find(std::string_view upstream) const;

    void set_routes(std::shared_ptr<const policy::routing_table> routes);

    /// Sets the number of live nodes in each failure domain, this node
    /// included. `uses_relays` states whether this node sends fan-outs within
    /// its own failure domain through relays.
    void set_live_nodes(node_counts by_domain, bool uses_relays);

    /// Memory that unfinished responses hold beyond the part that each
    /// response may hold anyway, in bytes.
    [[nodiscard]] std::size_t response_memory() const
    {
        return response_budget_->used();
    }

    /// Returns the number of connections in all pools.
    [[nodiscard]] std::size_t connection_count() const;

private:
    [[nodiscard]] upstreams::forward_connection::options
    make_connection_options(const policy::upstream_handle& handle) const;
    void record_rejection(const policy::registered_upstream& upstream,
                          upstreams::response_fault fault) const;
    [[nodiscard]] bool
    is_in_own_domain(const policy::registered_upstream& upstream) const;
    [[nodiscard]] std::size_t
    connection_share(const policy::registered_upstream& upstream) const;
    [[nodiscard]] std::size_t
    warm_connection_count(const policy::registered_upstream& upstream) const;

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    const options options_;
    operators::metrics& metrics_;
    const std::shared_ptr<upstreams::response_budget> response_budget_;
    std::shared_ptr<const policy::routing_table> routes_;
    node_counts nodes_by_domain_;
    std::size_t node_count_ = 1;
    bool uses_relays_ = false;
    bool is_stopped_ = false;
    std::map<std::string, std::shared_ptr<upstreams::forward_pool>, std::less<>>
        pools_;
};

} // namespace tamarackhoist::node

#endif
