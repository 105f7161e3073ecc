#ifndef TAMARACKHOIST_NODE_OWNER_SERVICE_HPP
#define TAMARACKHOIST_NODE_OWNER_SERVICE_HPP

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/node/owner_lane.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/policy/pause_guard.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Serves the upstreams that this node owns. They are distributed over lanes
/// with one strand each, so that several threads can serve them. Thread-safe.
class owner_service
{
public:
    owner_service(const boost::asio::any_io_executor& executor,
                  runtime::clock clock, policy::node_id self,
                  policy::pause_guard& pause_guard);

    /// Acquires and releases upstreams according to their owners in `view`.
    void set_view(const cluster_view_pointer& view);

    /// Passes a request to the lane of its upstream, which calls `on_reply`
    /// once.
    void submit(policy::sub_request request, reply_handler on_reply);
    void cancel(policy::request_id id, policy::upstream_id target);

    /// Records a drain that the VM list or another node announced.
    void set_announced_drain(policy::upstream_id target, bool is_draining);

    /// Calls `handler` once per lane with the state of its upstreams.
    void
    report(const std::function<void(std::vector<operators::upstream_report>)>&
               handler);

    [[nodiscard]] std::size_t lane_count() const { return lanes_.size(); }

private:
    [[nodiscard]] owner_lane& find_lane(policy::upstream_id target);

    std::vector<std::shared_ptr<owner_lane>> lanes_;
};

} // namespace tamarackhoist::node

#endif
