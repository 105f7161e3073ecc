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
                             runtime::clock time, policy::node_id self,
                             policy::pause_guard& guard)
{
    for (std::size_t lane = 0; lane < lane_total; ++lane) {
        lanes_.push_back(std::make_shared<owner_lane>(
            boost::asio::make_strand(executor), time, self, guard));
    }
}

owner_lane& owner_service::lane_of(policy::upstream_id target)
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

void owner_service::submit(policy::sub_request request, reply_handler reply)
{
    auto& lane = lane_of(request.target);
    lane.submit(std::move(request), std::move(reply));
}

void owner_service::cancel(policy::request_id id, policy::upstream_id target)
{
    lane_of(target).cancel(id, target);
}

void owner_service::set_listed_leaving(policy::upstream_id target,
                                       bool is_leaving)
{
    lane_of(target).set_listed_leaving(target, is_leaving);
}

void owner_service::report(
    const std::function<void(std::vector<operators::upstream_report>)>& handle)
{
    for (const auto& lane : lanes_) {
        lane->report(handle);
    }
}

} // namespace tamarackhoist::node
