#ifndef TAMARACKHOIST_NODE_PEER_DIRECTORY_HPP
#define TAMARACKHOIST_NODE_PEER_DIRECTORY_HPP

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/peers/peer_link.hpp>

namespace tamarackhoist::node
{

/// Holds one link per peer, opened on first use. A link is closed when its peer
/// is declared dead or restarts under a new incarnation, so that open calls end
/// at once instead of waiting for a timeout. Thread-safe.
class peer_directory
{
public:
    explicit peer_directory(boost::asio::any_io_executor executor);

    /// Closes the links to peers that are dead, replaced or missing in `view`.
    void set_view(const cluster_view& view);

    /// Returns the link to this incarnation of `peer`. Opens it if necessary
    /// and closes the link to another incarnation.
    [[nodiscard]] std::shared_ptr<peers::peer_link>
    get_or_open_link(const peers::member& peer);

private:
    struct link_entry {
        std::uint64_t incarnation = 0;
        std::shared_ptr<peers::peer_link> link;
    };

    boost::asio::any_io_executor executor_;
    std::mutex mutex_;
    std::map<policy::node_id, link_entry> links_;
};

} // namespace tamarackhoist::node

#endif
