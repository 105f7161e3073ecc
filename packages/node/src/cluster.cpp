#include <tamarackhoist/node/cluster.hpp>

#include <utility>

namespace tamarackhoist::node
{

namespace
{

policy::ownership compute_ownership(const cluster_view& view)
{
    if (!view.deployment) {
        return {};
    }
    std::vector<policy::node_view> nodes;
    for (const auto& [id, member] : view.members) {
        if (member.state == peers::member_state::dead) {
            continue;
        }
        nodes.push_back({id, member.failure_domain,
                         member.state == peers::member_state::leaving});
    }
    return {*view.deployment, nodes};
}

} // namespace

cluster::cluster() : view_(std::make_shared<const cluster_view>()) {}

void cluster::on_change(change_hook hook)
{
    const std::lock_guard lock(mutex_);
    hooks_.push_back(std::move(hook));
}

void cluster::set_deployment(policy::deployment_pointer deployment)
{
    const std::lock_guard lock(mutex_);
    auto next = *view_.read();
    next.deployment = std::move(deployment);
    publish(std::move(next));
}

void cluster::set_members(const std::vector<peers::member>& members)
{
    const std::lock_guard lock(mutex_);
    auto next = *view_.read();
    next.members.clear();
    for (const auto& member : members) {
        next.members[member.id()] = member;
    }
    publish(std::move(next));
}

void cluster::publish(cluster_view next)
{
    next.owners = compute_ownership(next);
    auto published = std::make_shared<const cluster_view>(std::move(next));
    view_.publish(published);
    for (const auto& hook : hooks_) {
        hook(published);
    }
}

} // namespace tamarackhoist::node
