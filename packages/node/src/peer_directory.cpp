#include <tamarackhoist/node/peer_directory.hpp>

#include <utility>

namespace tamarackhoist::node
{

peer_directory::peer_directory(boost::asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

void peer_directory::set_view(const cluster_view& view)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(links_, [&](auto& item) {
        const auto found = view.members.find(item.first);
        const bool is_current =
            found != view.members.end() &&
            found->second.state != peers::member_state::dead &&
            found->second.incarnation == item.second.incarnation;
        if (!is_current) {
            item.second.link->close();
        }
        return !is_current;
    });
}

std::shared_ptr<peers::peer_link>
peer_directory::get_or_open_link(const peers::member& peer)
{
    const std::lock_guard lock(mutex_);
    auto& entry = links_[peer.id()];
    if (!entry.link || entry.incarnation != peer.incarnation) {
        if (entry.link) {
            entry.link->close();
        }
        entry.incarnation = peer.incarnation;
        entry.link = peers::peer_link::create(executor_, peer.endpoint);
    }
    return entry.link;
}

} // namespace tamarackhoist::node
