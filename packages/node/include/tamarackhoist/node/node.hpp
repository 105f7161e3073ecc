#ifndef TAMARACKHOIST_NODE_NODE_HPP
#define TAMARACKHOIST_NODE_NODE_HPP

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <tamarackhoist/callers/caller_server.hpp>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/node/configuration_service.hpp>
#include <tamarackhoist/node/entry_service.hpp>
#include <tamarackhoist/node/node_settings.hpp>
#include <tamarackhoist/node/operator_server.hpp>
#include <tamarackhoist/node/owner_service.hpp>
#include <tamarackhoist/node/peer_directory.hpp>
#include <tamarackhoist/node/request_router.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/peers/membership.hpp>
#include <tamarackhoist/peers/peer_server.hpp>
#include <tamarackhoist/policy/pause_guard.hpp>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/runtime/clock.hpp>

namespace tamarackhoist::node
{

/// A node process and all services that it runs.
class node
{
public:
    /// Creates a node and binds its listening sockets. Returns an error if a
    /// socket cannot be bound.
    [[nodiscard]] static runtime::result<std::unique_ptr<node>, std::string>
    create(node_settings settings, runtime::clock clock);

    ~node();

    /// Runs the node on as many threads as the settings specify. Returns when
    /// a shutdown has finished.
    void run();

    /// Starts a graceful shutdown: the node hands its upstreams over to peers,
    /// accepts no new requests, and stops when no request is in flight.
    /// Thread-safe; a second call has no effect.
    void shut_down();

private:
    node(node_settings settings, runtime::clock clock,
         std::uint64_t incarnation);

    [[nodiscard]] runtime::result<void, std::string> listen();
    [[nodiscard]] peers::membership::hooks make_membership_hooks();
    void start();
    /// Runs the failure detector periodically, on the gossip strand.
    void tick();
    void handle_call(const std::shared_ptr<peers::incoming_call>& call);
    void handle_sub_requests(const std::shared_ptr<peers::incoming_call>& call);
    void handle_order(const std::shared_ptr<peers::incoming_call>& call);
    void
    handle_document_request(const std::shared_ptr<peers::incoming_call>& call);
    void on_member_transition(const peers::member& member,
                              peers::member_state previous_state);
    void on_drain_update(const peers::drain_update& update);
    void announce_drain(policy::upstream_id target, bool is_draining);
    /// Polls until no request is in flight, then stops the event loop.
    void wait_until_idle();
    void render_status(const operator_server::text_handler& handler);
    [[nodiscard]] std::string explain_routing(const std::string& index);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::vector<operators::class_report>
    make_class_reports() const;

    const node_settings settings_;
    const runtime::clock clock_;
    const policy::node_id self_;
    const std::uint64_t incarnation_;
    boost::asio::io_context io_context_;
    operators::metrics metrics_;
    runtime::audit_trail audit_trail_;
    policy::pause_guard pause_guard_;
    cluster cluster_;
    peer_directory peer_directory_;
    owner_service owner_service_;
    request_router request_router_;
    entry_service entry_service_;
    std::shared_ptr<configuration_service> configuration_service_;
    std::shared_ptr<peers::peer_server> peer_server_;
    std::unique_ptr<peers::membership> membership_;
    std::unique_ptr<callers::caller_server> caller_server_;
    std::unique_ptr<operator_server> operator_server_;
    std::unique_ptr<boost::asio::steady_timer> tick_timer_;
    std::unique_ptr<boost::asio::steady_timer> shutdown_timer_;
    std::atomic<bool> is_leaving_{false};
    std::atomic<bool> was_ready_logged_{false};
};

} // namespace tamarackhoist::node

#endif
