#ifndef TAMARACKHOIST_NODE_PEER_GROUP_HPP
#define TAMARACKHOIST_NODE_PEER_GROUP_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <tamarackhoist/node/peer_directory.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/peers/membership.hpp>
#include <tamarackhoist/peers/peer_server.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Membership of the gateways and the connections between them.
class peer_group
{
public:
    struct hooks {
        /// Called when the set of members or the state of a member changed.
        std::function<void()> on_change;
        /// Called for each call of a peer, except member list requests. The
        /// reply may be sent later.
        std::function<void(const std::shared_ptr<peers::incoming_call>&)>
            on_call;
        /// Called for each gossip message, with the failure domain of its
        /// sender.
        std::function<void(std::string_view failure_domain)> on_gossip_received;
        /// Called when a member becomes suspect, with its failure domain; may
        /// be empty.
        std::function<void(std::string_view failure_domain)> on_suspected =
            nullptr;
    };

    /// Listens on the address of `self`. An error text contains that address.
    [[nodiscard]] static runtime::result<std::unique_ptr<peer_group>,
                                         std::string>
    create(boost::asio::io_context& io_context, runtime::clock clock,
           operators::metrics& metrics, const peers::member& self,
           std::span<const transport::endpoint> seeds, hooks hooks);

    void start();
    /// Announces to the other members that this node accepts no new work.
    void leave();

    /// Pings members of a failure domain, including those declared dead, to
    /// detect that the domain is reachable again.
    void ping_domain(std::string_view failure_domain)
    {
        membership_.ping_domain(failure_domain);
    }

    /// Sets whether this node reaches less than half of the failure domains.
    void set_in_minority(bool is_in_minority)
    {
        membership_.set_in_minority(is_in_minority, clock_.now());
    }

    /// Returns the members that are alive or suspect, except this node.
    [[nodiscard]] std::vector<peers::member> live_peers() const;
    /// Returns the number of peers that have not left. Those that seem dead may
    /// only be cut off.
    [[nodiscard]] std::size_t remaining_peer_count() const;

    [[nodiscard]] const peers::member& self() const
    {
        return membership_.self();
    }

    /// Calls a peer. Both handlers may do nothing. `on_end` is called exactly
    /// once, with `call_end::not_sent` if the peer is not a known member.
    void call(policy::node_id peer, peers::call_path path, std::string body,
              peers::peer_link::message_handler on_message,
              peers::peer_link::end_handler on_end);

private:
    peer_group(boost::asio::io_context& io_context, runtime::clock clock,
               operators::metrics& metrics, const peers::member& self,
               hooks hooks);

    [[nodiscard]] peers::membership::hooks make_membership_hooks();
    void handle_call(const std::shared_ptr<peers::incoming_call>& call);
    void on_members_changed();
    void tick();
    void request_members(const peers::member& peer);

    boost::asio::io_context& io_context_;
    const runtime::clock clock_;
    operators::metrics& metrics_;
    const hooks hooks_;
    std::shared_ptr<peers::peer_server> server_;
    peer_directory peer_directory_;
    peers::membership membership_;
    boost::asio::steady_timer timer_;
};

} // namespace tamarackhoist::node

#endif
