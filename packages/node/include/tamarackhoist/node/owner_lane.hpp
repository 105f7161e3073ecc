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

/// Some of the upstreams that this node owns, on one strand. Methods are
/// thread-safe. Must be owned by a shared pointer.
class owner_lane : public std::enable_shared_from_this<owner_lane>
{
public:
    owner_lane(boost::asio::any_io_executor strand, runtime::clock time,
               policy::node_id self, policy::pause_guard& guard);

    using filter = std::function<bool(policy::upstream_id)>;
    void set_view(cluster_view_pointer view, filter is_in_lane);

    void submit(policy::sub_request request, reply_handler reply);
    void cancel(policy::request_id id, policy::upstream_id target);
    void set_listed_leaving(policy::upstream_id target, bool is_leaving);
    void
    report(std::function<void(std::vector<operators::upstream_report>)> handle);

private:
    struct owned_upstream {
        std::unique_ptr<policy::upstream_owner> owner;
        std::shared_ptr<upstreams::upstream_client> client;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::unordered_map<policy::request_id, reply_handler> replies;
        /// Set when another node owns the upstream; work in flight ends here.
        bool is_released = false;
    };

    void apply_view(const cluster_view& view, const filter& is_in_lane);
    void take_over(const policy::upstream& described,
                   const policy::deployment& described_by);
    /// Observes the clock and returns whether this process trusts itself.
    [[nodiscard]] bool may_start(runtime::time_point now);
    void release(policy::upstream_id target);
    void handle_submit(policy::sub_request request, reply_handler reply);
    void deliver(policy::upstream_id target, policy::sub_reply reply);
    void arm_timer(policy::upstream_id target);
    void erase_if_idle(policy::upstream_id target);
    [[nodiscard]] owned_upstream* find(policy::upstream_id target);

    boost::asio::any_io_executor strand_;
    const runtime::clock time_;
    const policy::node_id self_;
    policy::pause_guard& guard_;
    std::map<policy::upstream_id, owned_upstream> owned_;
    std::set<policy::upstream_id> listed_leaving_;
};

} // namespace tamarackhoist::node

#endif
