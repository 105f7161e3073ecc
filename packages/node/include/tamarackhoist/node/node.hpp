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

/// One process of the tier, with every service that it runs.
class node
{
public:
    [[nodiscard]] static runtime::result<std::unique_ptr<node>, std::string>
    create(node_settings settings, runtime::clock time);

    ~node();

    /// Serves until a shutdown has finished. Runs the settings' number of
    /// threads.
    void run();

    /// Starts a graceful shutdown: the node takes no new work, hands its
    /// upstreams over, and ends when nothing is in flight. Thread-safe; a
    /// second call has no effect.
    void shut_down();

private:
    node(node_settings settings, runtime::clock time,
         std::uint64_t incarnation);

    [[nodiscard]] runtime::result<void, std::string> listen();
    [[nodiscard]] peers::membership::hooks membership_hooks();
    void start();
    void tick();
    void on_call(const std::shared_ptr<peers::incoming_call>& call);
    void on_sub_requests(const std::shared_ptr<peers::incoming_call>& call);
    void on_order(const std::shared_ptr<peers::incoming_call>& call);
    void on_document(const std::shared_ptr<peers::incoming_call>& call);
    void on_transition(const peers::member& changed,
                       peers::member_state before);
    void on_drain(const peers::drain_update& update);
    void announce_drain(policy::upstream_id target, bool is_leaving);
    void wait_until_idle();
    void render_status(const operator_server::text_handler& handle);
    [[nodiscard]] std::string explain(const std::string& index);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::vector<operators::class_report> class_reports() const;

    const node_settings settings_;
    const runtime::clock time_;
    const policy::node_id self_;
    const std::uint64_t incarnation_;
    boost::asio::io_context context_;
    operators::metrics metrics_;
    runtime::audit_trail audit_;
    policy::pause_guard guard_;
    cluster cluster_;
    peer_directory links_;
    owner_service owners_;
    request_router router_;
    entry_service entries_;
    std::shared_ptr<configuration_service> configuration_;
    std::shared_ptr<peers::peer_server> peer_server_;
    std::unique_ptr<peers::membership> membership_;
    std::unique_ptr<callers::caller_server> caller_server_;
    std::unique_ptr<operator_server> operator_server_;
    std::unique_ptr<boost::asio::steady_timer> tick_timer_;
    std::unique_ptr<boost::asio::steady_timer> shutdown_timer_;
    std::atomic<bool> is_leaving_{false};
    std::atomic<bool> has_document_{false};
};

} // namespace tamarackhoist::node

#endif
