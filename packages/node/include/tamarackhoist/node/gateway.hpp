#ifndef TAMARACKHOIST_NODE_GATEWAY_HPP
#define TAMARACKHOIST_NODE_GATEWAY_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tamarackhoist/callers/forward_server.hpp>
#include <tamarackhoist/node/forwarding.hpp>
#include <tamarackhoist/node/gateway_settings.hpp>
#include <tamarackhoist/node/health_monitor.hpp>
#include <tamarackhoist/node/peer_group.hpp>
#include <tamarackhoist/node/relay_client.hpp>
#include <tamarackhoist/node/relay_server.hpp>
#include <tamarackhoist/node/store_sync.hpp>
#include <tamarackhoist/node/upstream_pools.hpp>
#include <tamarackhoist/platform/news_follower.hpp>
#include <tamarackhoist/transport/http_server.hpp>

namespace tamarackhoist::node
{

/// A node that forwards requests by the published configuration. It runs on
/// one thread: a VM gives it a part of one core, and a second thread would
/// only add hand-overs. Log lines are written by a thread of their own.
class gateway
{
public:
    /// Makes the store's calls for an `io_context`.
    using store_factory = std::function<platform::store_calls(
        boost::asio::io_context&, const transport::endpoint& store)>;

    /// What the platform's adapter provides.
    struct adapter {
        forward_fields fields;
        store_factory make_store;
        platform::item_decoder decode;
    };

    /// Listens on the addresses of `settings`; an error names the address.
    [[nodiscard]] static runtime::result<std::unique_ptr<gateway>, std::string>
    create(gateway_settings settings, runtime::clock clock, adapter adapt);

    /// Serves until a graceful shutdown has ended.
    void run();

    /// Starts the graceful shutdown. May be called from any thread.
    void shut_down();

    /// Notes that the settings file was changed. Nothing that is in use
    /// changes before the next start. May be called from any thread.
    void note_reload();

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

private:
    gateway(gateway_settings settings, runtime::clock clock, adapter adapt,
            std::uint64_t incarnation);

    [[nodiscard]] runtime::result<void, std::string> listen();
    void handle(std::shared_ptr<callers::forward_exchange> exchange);
    void log_refusal(const transport::http_request& request,
                     std::string_view reason) const;
    void answer_operator(const transport::http_request& request,
                         const transport::http_server::respond& respond);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_cut_off() const;
    void refuse(callers::forward_exchange& exchange, std::string_view reason);
    [[nodiscard]] bool has_recent_news() const;

    [[nodiscard]] policy::upstream_directory::observer watch_directory();
    [[nodiscard]] store_sync::hooks watch_news();
    [[nodiscard]] peer_group::hooks watch_peers();
    void take(const platform::news_item& item);
    void take_changes(const std::vector<policy::store_item>& items);
    void take_list(const std::vector<policy::store_item>& items,
                   std::uint64_t revision);
    void take_call(const std::shared_ptr<peers::incoming_call>& call);
    void members_changed();
    [[nodiscard]] peers::member make_self() const;
    void
    take_routes(const std::shared_ptr<const policy::routing_table>& routes);
    void note_unusable(const platform::unusable_value& value);
    void arm_expiry();
    void set_gauges();
    void continue_shutdown();
    void check_ready();

    const gateway_settings settings_;
    const runtime::clock clock_;
    const std::uint64_t incarnation_;
    boost::asio::io_context io_context_{1};
    operators::metrics metrics_;
    policy::upstream_directory directory_;
    policy::forward_context context_;
    health_monitor health_;
    std::shared_ptr<forwarding> forwarding_;
    std::shared_ptr<const policy::routing_table> routes_;
    upstream_pools pools_;
    std::map<std::string, std::string, std::less<>> unusable_;
    const platform::item_decoder decode_;
    relay_client relays_;
    std::optional<relay_server> relay_server_;
    std::optional<store_sync> store_sync_;
    std::unique_ptr<peer_group> peers_;
    std::shared_ptr<callers::forward_server> callers_;
    std::shared_ptr<transport::http_server> readiness_;
    std::shared_ptr<transport::http_server> metrics_server_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer shutdown_timer_;
    std::optional<runtime::time_point> shutdown_at_;
    bool is_listed_ = false;
    bool was_ready_ = false;
};

} // namespace tamarackhoist::node

#endif
