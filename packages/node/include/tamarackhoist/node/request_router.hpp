#ifndef TAMARACKHOIST_NODE_REQUEST_ROUTER_HPP
#define TAMARACKHOIST_NODE_REQUEST_ROUTER_HPP

#include <functional>
#include <span>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/node/owner_service.hpp>
#include <tamarackhoist/node/peer_directory.hpp>
#include <tamarackhoist/operators/metrics.hpp>

namespace tamarackhoist::node
{

/// Sends sub-requests to the owners of their upstreams, one message per
/// owner, and brings back exactly one reply for each. Thread-safe.
class request_router
{
public:
    request_router(const cluster& members, peer_directory& links,
                   owner_service& owners, policy::node_id self,
                   runtime::clock time, operators::metrics& measured);

    /// `on_reply` is called once per request, on any thread, after `send`
    /// returned.
    void send(std::span<const policy::sub_request> requests,
              const reply_handler& on_reply);

    void cancel(policy::upstream_id target, policy::request_id id);

private:
    void send_remote(const peers::member& owner,
                     std::vector<policy::sub_request> requests,
                     const reply_handler& on_reply);

    const cluster& cluster_;
    peer_directory& links_;
    owner_service& owners_;
    const policy::node_id self_;
    const runtime::clock time_;
    operators::metrics& metrics_;
};

} // namespace tamarackhoist::node

#endif
