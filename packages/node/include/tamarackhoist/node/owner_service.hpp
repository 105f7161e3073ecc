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

/// The upstreams that this node owns. They are divided over lanes, each with
/// a strand of its own, so that several threads serve them. Thread-safe.
class owner_service
{
public:
    owner_service(const boost::asio::any_io_executor& executor,
                  runtime::clock time, policy::node_id self,
                  policy::pause_guard& guard);

    /// Takes over and hands over upstreams as the view says.
    void set_view(const cluster_view_pointer& view);

    void submit(policy::sub_request request, reply_handler reply);
    void cancel(policy::request_id id, policy::upstream_id target);

    /// Records a drain that the VM list or another node announced.
    void set_listed_leaving(policy::upstream_id target, bool is_leaving);

    /// Calls `handle` with the state of each owned upstream, lane by lane.
    void
    report(const std::function<void(std::vector<operators::upstream_report>)>&
               handle);

    [[nodiscard]] std::size_t lane_count() const { return lanes_.size(); }

private:
    [[nodiscard]] owner_lane& lane_of(policy::upstream_id target);

    std::vector<std::shared_ptr<owner_lane>> lanes_;
};

} // namespace tamarackhoist::node

#endif
