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

/// The other gateways: who lives, and the connections to them.
class peer_group
{
public:
    struct hooks {
        /// The live members changed.
        std::function<void()> on_change;
        /// A peer calls; the reply may be sent later.
        std::function<void(const std::shared_ptr<peers::incoming_call>&)>
            on_call;
        /// A peer of this failure domain sent something.
        std::function<void(std::string_view failure_domain)> on_heard;
    };

    /// Listens on the address of `self`; an error names it.
    [[nodiscard]] static runtime::result<std::unique_ptr<peer_group>,
                                         std::string>
    create(boost::asio::io_context& context, runtime::clock clock,
           operators::metrics& metrics, const peers::member& self,
           std::span<const transport::endpoint> seeds, hooks hooks);

    void start();
    /// Tells the others that this node takes no new work.
    void leave();

    /// Asks members of a failure domain for a sign of life.
    void ping_domain(std::string_view failure_domain)
    {
        membership_.ping_domain(failure_domain);
    }

    /// Returns the live members without this one.
    [[nodiscard]] std::vector<peers::member> live_peers() const;

    [[nodiscard]] const peers::member& self() const
    {
        return membership_.self();
    }

    /// Calls a live peer. Both handlers may be empty functions; `on_end` is
    /// called once, also if the peer is not known any more.
    void call(policy::node_id peer, peers::call_path path, std::string body,
              peers::peer_link::message_handler on_message,
              peers::peer_link::end_handler on_end);

private:
    peer_group(boost::asio::io_context& context, runtime::clock clock,
               operators::metrics& metrics, const peers::member& self,
               hooks hooks);

    [[nodiscard]] peers::membership::hooks membership_hooks();
    void take_call(const std::shared_ptr<peers::incoming_call>& call);
    void members_changed();
    void tick();
    void pull_members(const peers::member& peer);

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    operators::metrics& metrics_;
    const hooks hooks_;
    std::shared_ptr<peers::peer_server> server_;
    peer_directory links_;
    peers::membership membership_;
    boost::asio::steady_timer timer_;
};

} // namespace tamarackhoist::node

#endif
