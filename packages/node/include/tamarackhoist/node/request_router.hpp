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

/// Sends sub-requests to the owners of their upstreams, in one message per
/// owner, and delivers exactly one reply for each. Thread-safe.
class request_router
{
public:
    request_router(const cluster& cluster, peer_directory& directory,
                   owner_service& owner_service, policy::node_id self,
                   runtime::clock clock, operators::metrics& metrics);

    /// Sends `requests`. `on_reply` is called exactly once per request, on any
    /// thread, after `send` has returned.
    void send(std::span<const policy::sub_request> requests,
              const reply_handler& on_reply);

    /// Forwards a cancellation to the owner of the upstream `target`.
    void cancel(policy::upstream_id target, policy::request_id id);

private:
    void send_to_peer(const peers::member& owner,
                      std::vector<policy::sub_request> requests,
                      const reply_handler& on_reply);

    const cluster& cluster_;
    peer_directory& peer_directory_;
    owner_service& owner_service_;
    const policy::node_id self_;
    const runtime::clock clock_;
    operators::metrics& metrics_;
};

} // namespace tamarackhoist::node

#endif
