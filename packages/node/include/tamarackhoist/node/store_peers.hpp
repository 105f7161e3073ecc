#ifndef TAMARACKHOIST_NODE_STORE_PEERS_HPP
#define TAMARACKHOIST_NODE_STORE_PEERS_HPP

#include <functional>
#include <string_view>
#include <tamarackhoist/node/peer_group.hpp>
#include <tamarackhoist/peers/store_update_codec.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// The nodes with which a node exchanges items of the configuration service:
/// those of its failure domain, or any node where there is no other.
class store_peers
{
public:
    /// Receives the answer to a pull.
    using pull_handler = std::function<void(const peers::store_update&)>;

    store_peers(runtime::clock clock, pull_handler on_pulled);

    /// `group` must outlive this object.
    void start(peer_group& group);
    /// To be called when the live peers have changed.
    void update_members();

    /// Position of this node in the order in which the nodes of its failure
    /// domain take over following the service.
    [[nodiscard]] std::size_t rank() const { return rank_; }
    /// Whether a node of this failure domain has this name.
    [[nodiscard]] bool is_in_domain(std::string_view name) const;

    /// Sends an update to all nodes of the failure domain.
    void push(const peers::store_update& update);
    /// Asks one node for all items, with a different choice at each call,
    /// preferably of this failure domain. Has no effect within a short time
    /// after another pull.
    void pull_from_any();
    /// The same, preferably of another failure domain, whose nodes read the
    /// service on their own.
    void pull_from_other_domain();
    /// The same, of the node `name`.
    void pull_from(std::string_view name);

    [[nodiscard]] std::string_view own_name() const;
    [[nodiscard]] runtime::time_point last_push_at() const
    {
        return last_push_at_;
    }

private:
    [[nodiscard]] bool has_pulled_recently() const;
    void pull_from_one_of(std::vector<peers::member> candidates);
    void pull(policy::node_id peer);

    const runtime::clock clock_;
    const pull_handler on_pulled_;
    peer_group* group_ = nullptr;
    /// Live members of this node's failure domain, without this node.
    std::vector<peers::member> domain_peers_;
    std::size_t rank_ = 0;
    runtime::time_point last_push_at_{};
    runtime::time_point last_pull_at_{};
};

} // namespace tamarackhoist::node

#endif
