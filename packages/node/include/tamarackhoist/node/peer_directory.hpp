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

/// The links to the peers, opened on first use. A link is closed when its
/// peer is dead or was replaced, so that calls on it do not wait for a
/// timeout. Thread-safe.
class peer_directory
{
public:
    explicit peer_directory(boost::asio::any_io_executor executor);

    /// Closes the links to peers that the view no longer holds.
    void set_view(const cluster_view& view);

    /// Returns the link to `peer`.
    [[nodiscard]] std::shared_ptr<peers::peer_link>
    link_to(const peers::member& peer);

private:
    struct entry {
        std::uint64_t incarnation = 0;
        std::shared_ptr<peers::peer_link> link;
    };

    boost::asio::any_io_executor executor_;
    std::mutex mutex_;
    std::map<policy::node_id, entry> links_;
};

} // namespace tamarackhoist::node

#endif
