#include <tamarackhoist/node/owner_service.hpp>

#include <boost/asio/strand.hpp>
#include <utility>

namespace tamarackhoist::node
{

namespace
{

constexpr std::size_t lane_total = 8;

} // namespace

owner_service::owner_service(const boost::asio::any_io_executor& executor,
                             runtime::clock clock, policy::node_id self,
                             policy::pause_guard& pause_guard)
{
    for (std::size_t lane = 0; lane < lane_total; ++lane) {
        lanes_.push_back(std::make_shared<owner_lane>(
            boost::asio::make_strand(executor), clock, self, pause_guard));
    }
}

owner_lane& owner_service::find_lane(policy::upstream_id target)
{
    return *lanes_[target.value % lanes_.size()];
}

void owner_service::set_view(const cluster_view_pointer& view)
{
    if (!view->deployment) {
        return;
    }
    for (std::size_t position = 0; position < lanes_.size(); ++position) {
        lanes_[position]->set_view(
            view, [this, position](policy::upstream_id target) {
                return target.value % lanes_.size() == position;
            });
    }
}

void owner_service::submit(policy::sub_request request, reply_handler on_reply)
{
    auto& lane = find_lane(request.target);
    lane.submit(std::move(request), std::move(on_reply));
}

void owner_service::cancel(policy::request_id id, policy::upstream_id target)
{
    find_lane(target).cancel(id, target);
}

void owner_service::set_announced_drain(policy::upstream_id target,
                                        bool is_draining)
{
    find_lane(target).set_announced_drain(target, is_draining);
}

void owner_service::report(
    const std::function<void(std::vector<operators::upstream_report>)>& handler)
{
    for (const auto& lane : lanes_) {
        lane->report(handler);
    }
}

} // namespace tamarackhoist::node
