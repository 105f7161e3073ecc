#ifndef TAMARACKHOIST_NODE_CLUSTER_HPP
#define TAMARACKHOIST_NODE_CLUSTER_HPP

#include <functional>
#include <memory>
#include <mutex>
#include <tamarackhoist/peers/member.hpp>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/runtime/snapshot.hpp>
#include <unordered_map>
#include <vector>

namespace tamarackhoist::node
{

/// Consistent snapshot of the local view of the cluster: the configuration in
/// force, the members, and the owner of each upstream.
struct cluster_view {
    /// nullptr until a configuration is in force.
    policy::deployment_pointer deployment;
    std::unordered_map<policy::node_id, peers::member> members;
    policy::ownership owners;
};

using cluster_view_pointer = std::shared_ptr<const cluster_view>;

/// Holds the current cluster view and publishes changes by read-copy-update.
/// Thread-safe.
class cluster
{
public:
    using change_hook = std::function<void(const cluster_view_pointer&)>;

    cluster();

    /// Registers `hook`, which is called with each new view on the thread that
    /// changed it. The hook must not change the view.
    void on_change(change_hook hook);

    void set_deployment(policy::deployment_pointer deployment);
    void set_members(const std::vector<peers::member>& members);

    [[nodiscard]] cluster_view_pointer view() const { return view_.read(); }

private:
    void publish(cluster_view next);

    std::mutex mutex_;
    std::vector<change_hook> hooks_;
    runtime::snapshot<cluster_view> view_;
};

} // namespace tamarackhoist::node

#endif
