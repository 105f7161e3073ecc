#ifndef TAMARACKHOIST_NODE_GATEWAY_HPP
#define TAMARACKHOIST_NODE_GATEWAY_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
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
#include <tamarackhoist/policy/shutdown_schedule.hpp>
#include <tamarackhoist/transport/http_server.hpp>

namespace tamarackhoist::node
{

/// A node that forwards requests according to the published configuration. It
/// runs on one thread: a VM provides only a fraction of a core, so a second
/// thread would only add context switches. A separate thread writes the log.
class gateway
{
public:
    /// Creates the client of the configuration service at `store`.
    using store_factory = std::function<platform::store_calls(
        boost::asio::io_context&, const transport::endpoint& store)>;

    /// The platform-specific parts of a gateway.
    struct adapter {
        forward_fields fields;
        store_factory make_store;
        platform::item_decoder decode;
    };

    /// Creates a gateway that listens on the addresses in `settings`. If it
    /// cannot listen on one of them, the error names that address.
    [[nodiscard]] static runtime::result<std::unique_ptr<gateway>, std::string>
    create(gateway_settings settings, runtime::clock clock,
           adapter platform_adapter);

    /// Serves requests until a graceful shutdown has ended.
    void run();

    /// Starts a graceful shutdown. Thread-safe.
    void shut_down();

    /// Logs that the settings file has changed. The new settings take effect at
    /// the next start. Thread-safe.
    void log_settings_change();

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

private:
    gateway(gateway_settings settings, runtime::clock clock,
            adapter platform_adapter, std::uint64_t incarnation);

    [[nodiscard]] runtime::result<void, std::string> listen();
    void handle_request(std::shared_ptr<callers::forward_exchange> exchange);
    void log_refusal(const transport::http_request& request,
                     std::string_view reason) const;
    void answer_operator(const transport::http_request& request,
                         const transport::http_server::respond& respond);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_cut_off() const;
    void refuse(callers::forward_exchange& exchange, std::string_view reason);
    [[nodiscard]] bool has_recent_configuration() const;

    [[nodiscard]] policy::upstream_directory::observer
    make_directory_observer();
    [[nodiscard]] store_sync::hooks make_store_sync_hooks();
    [[nodiscard]] peer_group::hooks make_peer_group_hooks();
    /// Reads what an upstream says of itself in the head of a response.
    void handle_head(policy::tracked_upstream& upstream,
                     const transport::http_response& head);
    void pause_upstream(policy::tracked_upstream& upstream,
                        runtime::duration length, runtime::time_point now);
    void apply_item(const policy::store_item& source,
                    const platform::news_item& item);
    void apply_changes(const std::vector<policy::store_item>& items);
    /// Uses only the configuration among `items`.
    void apply_configurations(const std::vector<policy::store_item>& items);
    void apply_snapshot(const std::vector<policy::store_item>& items,
                        policy::store_position position);
    /// Begins the time in which the store may lack what it had before.
    void begin_store_era(std::uint64_t era);
    [[nodiscard]] std::vector<policy::store_item> items_held_back() const;
    void handle_call(const std::shared_ptr<peers::incoming_call>& call);
    void update_members();
    [[nodiscard]] peers::member make_own_member() const;
    void
    apply_routes(const policy::store_item& source,
                 const std::shared_ptr<const policy::routing_table>& routes);
    void hold_back(std::uint64_t version);
    void log_routes_in_force() const;
    void log_unusable_value(const platform::unusable_value& value);
    void arm_expiry();
    void set_gauges();
    void continue_shutdown();
    void stop_sending();
    void log_first_readiness();

    const gateway_settings settings_;
    const runtime::clock clock_;
    const std::uint64_t incarnation_;
    /// Spreads the ends of pauses over the nodes.
    std::minstd_rand random_;
    boost::asio::io_context io_context_{1};
    operators::metrics metrics_;
    policy::upstream_directory directory_;
    policy::forward_context context_;
    health_monitor health_;
    std::shared_ptr<forwarding> forwarding_;
    std::shared_ptr<const policy::routing_table> routes_;
    /// Item that `routes_` was decoded from.
    policy::store_item routes_source_;
    /// Version of the store's configuration, if it is older than `routes_`.
    std::optional<std::uint64_t> held_back_version_;
    /// Era of the store's items; empty before the first list.
    std::optional<std::uint64_t> store_era_;
    /// Time until which a restored store may lack routes that were added.
    runtime::time_point store_settles_at_{};
    upstream_pools pools_;
    /// Last logged reason for which a store value is unusable, by its key.
    std::map<std::string, std::string, std::less<>> unusable_reasons_;
    const platform::item_decoder decode_;
    relay_client relay_client_;
    std::optional<relay_server> relay_server_;
    std::optional<store_sync> store_sync_;
    std::unique_ptr<peer_group> peers_;
    std::shared_ptr<callers::forward_server> callers_;
    std::shared_ptr<transport::http_server> readiness_;
    std::shared_ptr<transport::http_server> metrics_server_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer shutdown_timer_;
    const policy::shutdown_schedule shutdown_schedule_;
    std::optional<runtime::time_point> shutdown_at_;
    /// Set when nothing more is sent to upstreams, because the node stops.
    bool is_sending_stopped_ = false;
    bool has_snapshot_ = false;
    bool was_ready_ = false;
};

} // namespace tamarackhoist::node

#endif
