#ifndef TAMARACKHOIST_NODE_OWNER_LANE_HPP
#define TAMARACKHOIST_NODE_OWNER_LANE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/policy/pause_guard.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/upstreams/upstream_client.hpp>
#include <unordered_map>

namespace tamarackhoist::node
{

using reply_handler = std::function<void(policy::sub_reply)>;

/// Serves a subset of the upstreams that this node owns, on one strand. Methods
/// are thread-safe. Must be owned by a shared pointer.
class owner_lane : public std::enable_shared_from_this<owner_lane>
{
public:
    owner_lane(boost::asio::any_io_executor strand, runtime::clock clock,
               policy::node_id self, policy::pause_guard& pause_guard);

    using upstream_filter = std::function<bool(policy::upstream_id)>;
    /// Acquires and releases upstreams according to `view`. Ignores upstreams
    /// for which `is_assigned` returns false.
    void set_view(cluster_view_pointer view, upstream_filter is_assigned);

    /// Passes a request to the owner of its upstream. Calls `on_reply` once,
    /// with the refusal `not_owner` if the upstream is not owned by this lane.
    void submit(policy::sub_request request, reply_handler on_reply);
    void cancel(policy::request_id id, policy::upstream_id target);
    /// Records a drain that the VM list or another node announced.
    void set_announced_drain(policy::upstream_id target, bool is_draining);
    /// Calls `handler` with the state of each upstream of this lane.
    void report(
        std::function<void(std::vector<operators::upstream_report>)> handler);

private:
    struct owned_upstream {
        std::unique_ptr<policy::upstream_owner> owner;
        std::shared_ptr<upstreams::upstream_client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::unordered_map<policy::request_id, reply_handler> replies;
        /// Whether this node has handed over the upstream. Requests in flight
        /// still finish here; new ones are refused.
        bool is_released = false;
    };

    void apply_view(const cluster_view& view,
                    const upstream_filter& is_assigned);
    void acquire(const policy::upstream& description,
                 const policy::deployment& deployment);
    /// Passes `now` to the pause guard and returns whether requests may be
    /// started. After a pause of this process they may not, until the guard
    /// trusts the local view again.
    [[nodiscard]] bool can_start_requests(runtime::time_point now);
    void release(policy::upstream_id target);
    void handle_submit(policy::sub_request request, reply_handler on_reply);
    void deliver_reply(policy::upstream_id target, policy::sub_reply reply);
    void arm_timer(policy::upstream_id target);
    /// Destroys a released upstream that has no request left.
    void erase_if_idle(policy::upstream_id target);
    [[nodiscard]] owned_upstream* find_upstream(policy::upstream_id target);

    boost::asio::any_io_executor strand_;
    const runtime::clock clock_;
    const policy::node_id self_;
    policy::pause_guard& pause_guard_;
    std::map<policy::upstream_id, owned_upstream> owned_;
    /// Upstreams that the VM list or another node reports as draining. Kept
    /// also for upstreams that this node does not own yet.
    std::set<policy::upstream_id> announced_drains_;
};

} // namespace tamarackhoist::node

#endif
