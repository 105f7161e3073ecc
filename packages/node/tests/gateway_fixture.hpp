#ifndef TAMARACKHOIST_NODE_GATEWAY_FIXTURE_HPP
#define TAMARACKHOIST_NODE_GATEWAY_FIXTURE_HPP

#include "../../upstreams/tests/scripted_upstream.hpp"
#include "fake_store.hpp"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <tamarackhoist/node/gateway.hpp>
#include <tamarackhoist/transport/http_connection.hpp>
#include <tamarackhoist/transport/http_server.hpp>
#include <thread>
#include <unistd.h>
#include <vector>

/// Runs real gateways on loopback ports against a fake store and fake upstreams
/// whose answers a test provides.
namespace tamarackhoist::node
{

/// Returns a route of host "h" that leads nowhere yet.
[[nodiscard]] inline policy::route make_route(const std::string& name,
                                              const std::string& prefix,
                                              policy::repeatability repeat)
{
    policy::route route;
    route.name = name;
    route.host = "h";
    route.prefix = prefix;
    route.repeat = repeat;
    route.timeout = std::chrono::seconds(1);
    route.latency_target = std::chrono::milliseconds(400);
    route.max_attempts = 2;
    return route;
}

/// A request that a fake upstream received.
struct received_request {
    std::string upstream;
    std::string target;
    std::string request_id;
    std::string body;
    std::string expected_upstream;
};

/// Starts fake upstreams, each on a port of its own, and gateways that forward
/// requests to them.
class gateway_fixture
{
public:
    using responder =
        std::function<transport::http_response(const received_request&)>;

    gateway_fixture()
    {
        upstream_thread_ = std::jthread([this] {
            const auto work = boost::asio::make_work_guard(upstream_context_);
            upstream_context_.run();
        });
    }

    ~gateway_fixture()
    {
        for (auto& each : gateways_) {
            each->shut_down();
        }
        threads_.clear();
        upstream_context_.stop();
    }

    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;

    /// Starts an upstream and puts its registration into the store.
    void add_upstream(const std::string& id, const std::string& service,
                      const std::string& domain, responder respond)
    {
        auto server =
            transport::http_server::create(
                upstream_context_.get_executor(), {"127.0.0.1", 0}, {},
                [this, id, respond = std::move(respond)](
                    const transport::http_request& request,
                    const transport::http_server::respond& answer) {
                    received_request received{
                        id, std::string(request.target()),
                        std::string(request["X-Id"]), request.body(),
                        std::string(request["X-Expected"])};
                    {
                        const std::lock_guard guard(mutex_);
                        received_.push_back(received);
                    }
                    auto response = respond(received);
                    response.set("X-Id", received.request_id);
                    answer(std::move(response));
                })
                .value();
        server->start();
        register_upstream(id, service, domain, server->port());
        servers_.push_back(std::move(server));
    }

    /// Starts an upstream that answers with bytes from a script, which runs on
    /// another thread, and puts its registration into the store.
    void add_scripted_upstream(const std::string& id,
                               const std::string& service,
                               const std::string& domain,
                               upstreams::scripted_upstream::script answer)
    {
        auto upstream = std::make_unique<upstreams::scripted_upstream>(
            upstream_context_, std::move(answer));
        register_upstream(id, service, domain,
                          upstream->listen_endpoint().port);
        scripted_upstreams_.push_back(std::move(upstream));
    }

    /// Updates the registration of an upstream to draining.
    void set_draining(const std::string& id)
    {
        registrations_[id].is_draining = true;
        write_registration(id);
    }

    /// Updates the registration of an upstream to a new incarnation.
    void restart_upstream(const std::string& id)
    {
        ++registrations_[id].started_at;
        write_registration(id);
    }

    /// Writes what an upstream has registered once more.
    void write_registration(const std::string& id)
    {
        write("servers/" + id,
              platform::upstream_registered{registrations_.at(id)});
    }

    /// Removes the registration of an upstream.
    void unregister_upstream(const std::string& id)
    {
        store.remove("servers/" + id);
    }

    void set_routes(std::uint64_t version, std::vector<policy::route> routes)
    {
        std::map<std::string, policy::service_settings, std::less<>> services;
        for (const auto& route : routes) {
            for (const auto& each : route.services) {
                services[each.service] = {25};
            }
            for (const auto& each : route.shards) {
                services[each] = {25};
            }
        }
        write("routes", platform::routes_published{
                            std::make_shared<const policy::routing_table>(
                                version, std::move(routes), std::move(services),
                                policy::request_limits{})});
    }

    /// Starts a gateway and returns its index.
    std::size_t
    start_gateway(const std::string& name, const std::string& domain,
                  runtime::duration shutdown_grace = std::chrono::seconds(6))
    {
        gateway_settings settings;
        settings.shutdown_grace = shutdown_grace;
        settings.name = name;
        settings.failure_domain = domain;
        const auto endpoints = free_endpoints();
        settings.callers = endpoints[0];
        settings.readiness = endpoints[1];
        settings.metrics = endpoints[2];
        settings.peers = endpoints[3];
        settings.store = {"127.0.0.1", 1};
        settings.extra_attempt_allowance = 1000;
        settings.max_configuration_age = news_deadline;
        settings.drain_delay = news_deadline;
        if (!callers_.empty()) {
            settings.seeds = {peer_addresses_.front()};
        }
        auto created =
            gateway::create(settings, runtime::clock::boot(),
                            {.fields = {.request_id = "X-Id",
                                        .time_left_ms = "X-Left",
                                        .expected_upstream = "X-Expected",
                                        .digest = "X-Digest",
                                        .not_executed = "X-Not-Run",
                                        .leaving = "X-Leaving",
                                        .shard_digests = "X-Digests",
                                        .missing_shards = "X-Missing"},
                             .make_store =
                                 [this](boost::asio::io_context& context,
                                        const transport::endpoint&) {
                                     return store.make_calls(context);
                                 },
                             .decode =
                                 [this](const policy::store_item& item) {
                                     return decode(item);
                                 }});
        if (!created) {
            throw std::runtime_error(created.error());
        }
        callers_.push_back(settings.callers);
        readiness_.push_back(settings.readiness);
        peer_addresses_.push_back(settings.peers);
        gateways_.push_back(std::move(created).value());
        threads_.emplace_back(
            [running = gateways_.back().get()] { running->run(); });
        return gateways_.size() - 1;
    }

    /// Waits until `condition` returns true, for 5 seconds at most. Returns
    /// whether it did.
    [[nodiscard]] static bool wait_until(const std::function<bool()>& condition)
    {
        for (int attempt = 0; attempt < 500; ++attempt) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    [[nodiscard]] bool is_ready(std::size_t index)
    {
        const auto response = exchange(readiness_[index], "/ready", {}, {});
        return response && response->result_int() == 200;
    }

    /// Sends a caller's request to a gateway and returns the response, or
    /// nothing if there was none.
    [[nodiscard]] std::optional<transport::http_response>
    send_request(std::size_t index, const std::string& target,
                 const std::string& id = "id", const std::string& body = {})
    {
        return exchange(callers_[index], target, id, body);
    }

    /// Sends a caller's request to a gateway and returns all bytes that it
    /// sends until it closes the connection.
    [[nodiscard]] std::string send_raw_request(std::size_t index,
                                               const std::string& target,
                                               const std::string& id = "id")
    {
        using boost::asio::ip::tcp;
        boost::asio::io_context context;
        tcp::socket socket(context);
        const auto& gateway = callers_[index];
        socket.connect(
            {boost::asio::ip::make_address(gateway.address), gateway.port});
        boost::asio::write(
            socket, boost::asio::buffer("GET " + target +
                                        " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
                                        "\r\nX-Left: 2000\r\n"
                                        "Connection: close\r\n\r\n"));
        std::string received;
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                          ignored);
        return received;
    }

    [[nodiscard]] std::vector<received_request> received_requests()
    {
        const std::lock_guard guard(mutex_);
        return received_;
    }

    gateway& gateway_at(std::size_t index) { return *gateways_[index]; }

    /// Returns distinct free endpoints for the servers of one gateway. All
    /// ports stay bound until the last one is chosen: a released port could be
    /// chosen again.
    static std::array<transport::endpoint, 4> free_endpoints()
    {
        using boost::asio::ip::tcp;
        boost::asio::io_context context;
        const auto address = process_loopback_address();
        std::vector<tcp::acceptor> acceptors;
        std::array<transport::endpoint, 4> endpoints;
        for (auto& each : endpoints) {
            acceptors.emplace_back(
                context,
                tcp::endpoint(boost::asio::ip::make_address(address), 0));
            each = {address, acceptors.back().local_endpoint().port()};
        }
        return endpoints;
    }

    fake_store store;
    /// Time within which gateways that are started from now on learn of changes
    /// of the store.
    runtime::duration news_deadline = std::chrono::seconds(3);

private:
    /// Returns a loopback address that depends on the process id, so that no
    /// other test process takes a port between its choice and its use.
    static std::string process_loopback_address()
    {
        constexpr pid_t hosts = 254;
        const auto process = ::getpid();
        return "127." + std::to_string(101 + process / hosts / hosts % 100) +
               "." + std::to_string(process / hosts % hosts) + "." +
               std::to_string(1 + process % hosts);
    }

    static std::optional<transport::http_response>
    exchange(const transport::endpoint& address, const std::string& target,
             const std::string& id, const std::string& body)
    {
        namespace http = boost::beast::http;
        constexpr unsigned http_1_1 = 11;
        boost::asio::io_context context;
        transport::http_request request(body.empty() ? http::verb::get
                                                     : http::verb::post,
                                        target, http_1_1);
        request.set(http::field::host, "h");
        request.set("X-Id", id);
        request.set("X-Left", "2000");
        request.body() = body;
        std::optional<transport::http_response> response;
        transport::exchange_once(
            context.get_executor(), address, std::move(request),
            std::chrono::seconds(3), [&](transport::exchange_result result) {
                if (result.status == transport::exchange_status::answered) {
                    response = std::move(result.response);
                }
            });
        context.run();
        return response;
    }

    void register_upstream(const std::string& id, const std::string& service,
                           const std::string& domain, std::uint16_t port)
    {
        policy::registered_upstream entry;
        entry.id = id;
        entry.service = service;
        entry.address = "127.0.0.1";
        entry.port = port;
        entry.failure_domain = domain;
        entry.slots = 2;
        registrations_[id] = entry;
        write_registration(id);
    }

    /// Writes an item whose value stands for `decoded`.
    void write(const std::string& key, platform::news_item decoded)
    {
        std::string value;
        {
            const std::lock_guard guard(mutex_);
            value = std::to_string(written_.size());
            written_.push_back(std::move(decoded));
        }
        store.put(key, value);
    }

    std::optional<platform::news_item> decode(const policy::store_item& item)
    {
        const std::lock_guard guard(mutex_);
        if (item.is_removed) {
            return platform::upstream_unregistered{
                item.key.substr(std::string("servers/").size()), item.position};
        }
        if (item.key != "routes" && !item.key.starts_with("servers/")) {
            return std::nullopt;
        }
        auto decoded = written_.at(std::stoul(item.value));
        if (auto* registered =
                std::get_if<platform::upstream_registered>(&decoded)) {
            registered->entry.position = item.position;
        }
        return decoded;
    }

    std::mutex mutex_;
    /// What the values of the store's items stand for, by their number.
    std::vector<platform::news_item> written_;
    /// Registrations by the id of the upstream.
    std::map<std::string, policy::registered_upstream> registrations_;
    std::vector<received_request> received_;
    boost::asio::io_context upstream_context_;
    std::vector<std::shared_ptr<transport::http_server>> servers_;
    std::vector<std::unique_ptr<upstreams::scripted_upstream>>
        scripted_upstreams_;
    std::vector<transport::endpoint> callers_;
    std::vector<transport::endpoint> readiness_;
    std::vector<transport::endpoint> peer_addresses_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::jthread upstream_thread_;
    std::vector<std::jthread> threads_;
};

} // namespace tamarackhoist::node

#endif
