// Simulates every upstream of a document, each on its own port, with slots, a
// short queue, random service times, index versions, drains, load shedding and
// cancellation when the connection is closed. Counts the requests that ran
// (GET /stats). Faults are set with POST on the control port: {"upstream":
// NAME, "factor": ..., "draining": ..., "version": ..., "lose_replies": ...};
// the name * stands for all upstreams.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <tamarackhoist/document/document_state.hpp>
#include <tamarackhoist/transport/http_server.hpp>
#include <tamarackhoist/upstreams/upstream_wire.hpp>

DEFINE_string(document, "", "Document that lists the upstreams");
DEFINE_string(control, "127.0.0.1:7001", "ADDRESS:PORT of the control port");
DEFINE_double(service_ms, 4,
              "Mean service time of one request, in milliseconds");
DEFINE_uint64(seed, 1, "Seed of the random service times");

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace header = tamarackhoist::upstreams::header;
using namespace tamarackhoist;
using transport::http_server;

/// Requests that wait for a slot; further ones are shed.
constexpr std::size_t max_queued_requests = 16;
constexpr int items_per_shard = 4;

/// What ran on all upstreams together.
struct run_counts {
    /// Number of runs of each order, by the order's body.
    std::map<std::string, int> orders;
    std::uint64_t requests = 0;
    /// Requests that started on an upstream while it was draining.
    std::uint64_t while_draining = 0;
};

class fake_upstream
{
public:
    fake_upstream(asio::io_context& context, const policy::upstream& upstream,
                  std::vector<policy::key_range> ranges, run_counts& counts)
        : context_(context), upstream_(upstream), ranges_(std::move(ranges)),
          counts_(counts), random_(FLAGS_seed + upstream.id.value)
    {
    }

    /// Starts to listen; returns an error text, empty on success.
    std::string listen()
    {
        auto server = http_server::create(
            context_.get_executor(), {upstream_.address, upstream_.port}, {},
            [this](const transport::http_request& request,
                   const http_server::respond& respond) {
                handle(request, respond);
            });
        if (!server) {
            return server.error();
        }
        server_ = server.value();
        server_->start();
        return {};
    }

    /// Applies the fault settings that the command contains.
    void apply_control(const json::object& command)
    {
        if (const auto* value = command.if_contains("factor")) {
            service_time_factor_ = value->to_number<double>();
        }
        if (const auto* value = command.if_contains("draining")) {
            is_draining_ = value->as_bool();
        }
        if (const auto* value = command.if_contains("version")) {
            version_ = value->to_number<std::uint64_t>();
        }
        if (const auto* value = command.if_contains("lose_replies")) {
            loses_replies_ = value->as_bool();
        }
    }

private:
    struct pending_request {
        transport::http_request request;
        http_server::respond respond;
    };

    void handle(const transport::http_request& request,
                const http_server::respond& respond)
    {
        if (request.target() == upstreams::health_path) {
            respond(add_status_headers(
                transport::make_json(http::status::ok, "{}")));
            return;
        }
        if (queue_.size() >= max_queued_requests) {
            auto shed_response =
                transport::make_json(http::status::service_unavailable, "{}");
            shed_response.set(header::not_run, "1");
            respond(add_status_headers(std::move(shed_response)));
            return;
        }
        queue_.push_back({request, respond});
        start_next();
    }

    /// Adds the headers that every response of an upstream carries.
    transport::http_response
    add_status_headers(transport::http_response response) const
    {
        const auto version = std::to_string(version_);
        response.set(header::versions, version + "-" + version);
        response.set(header::draining, is_draining_ ? "1" : "0");
        return response;
    }

    void start_next()
    {
        if (running_requests_ >= upstream_.slots || queue_.empty()) {
            return;
        }
        ++running_requests_;
        ++counts_.requests;
        counts_.while_draining += is_draining_ ? 1 : 0;
        auto next = std::move(queue_.front());
        queue_.pop_front();
        const auto mean_ms = FLAGS_service_ms * service_time_factor_;
        std::gamma_distribution<> service(4, mean_ms / 4);
        auto timer = std::make_shared<asio::steady_timer>(
            context_, std::chrono::microseconds(
                          static_cast<std::int64_t>(service(random_) * 1e3)));
        timer->async_wait([this, timer, pending = std::move(next)](auto) {
            --running_requests_;
            complete(pending);
            start_next();
        });
    }

    void complete(const pending_request& pending)
    {
        if (pending.request.target() == upstreams::order_path) {
            ++counts_.orders[pending.request.body()];
            if (loses_replies_) {
                auto failure_response =
                    transport::make_json(http::status::bad_gateway, "{}");
                pending.respond(
                    add_status_headers(std::move(failure_response)));
                return;
            }
            pending.respond(add_status_headers(transport::make_json(
                http::status::ok, R"({"confirmed":true})")));
            return;
        }
        const std::string required_version(pending.request[header::version]);
        if (required_version != "0" &&
            required_version != std::to_string(version_)) {
            pending.respond(add_status_headers(
                transport::make_json(http::status::conflict, "{}")));
            return;
        }
        const std::string range_text(pending.request[header::key_range]);
        const auto range = upstreams::parse_range(range_text);
        const auto covered_ranges = policy::key_range_set(ranges_).intersection(
            range.value_or(policy::key_range{}));
        json::array items;
        for (const auto& shard_range : ranges_) {
            const auto step = shard_range.size() / items_per_shard;
            for (int number = 0; number < items_per_shard; ++number) {
                const auto position =
                    shard_range.begin + step * static_cast<policy::key>(number);
                if (covered_ranges.contains(position)) {
                    items.push_back({{"key", position},
                                     {"value", {{"version", version_}}}});
                }
            }
        }
        auto response = transport::make_json(
            http::status::ok, json::serialize(json::object{{"items", items}}));
        response.set(header::version, std::to_string(version_));
        response.set(header::covered, upstreams::format_ranges(covered_ranges));
        pending.respond(add_status_headers(std::move(response)));
    }

    asio::io_context& context_;
    const policy::upstream upstream_;
    const std::vector<policy::key_range> ranges_;
    run_counts& counts_;
    std::mt19937_64 random_;
    std::shared_ptr<http_server> server_;
    std::deque<pending_request> queue_;
    std::size_t running_requests_ = 0;
    double service_time_factor_ = 1;
    std::uint64_t version_ = 1;
    bool is_draining_ = false;
    bool loses_replies_ = false;
};

class control_port
{
public:
    control_port(
        std::map<std::string, std::unique_ptr<fake_upstream>>& fake_upstreams,
        run_counts& counts)
        : upstreams_(fake_upstreams), counts_(counts)
    {
    }

    void handle(const transport::http_request& request,
                const http_server::respond& respond)
    {
        if (request.target() == "/stats") {
            int duplicated_orders = 0;
            for (const auto& [body, runs] : counts_.orders) {
                duplicated_orders += runs > 1 ? 1 : 0;
            }
            respond(transport::make_json(
                http::status::ok,
                json::serialize(
                    json::object{{"requests", counts_.requests},
                                 {"orders", counts_.orders.size()},
                                 {"doubled", duplicated_orders},
                                 {"while_draining", counts_.while_draining}})));
            return;
        }
        const auto command = json::parse(request.body()).as_object();
        const std::string name(command.at("upstream").as_string());
        for (auto& [upstream_name, upstream] : upstreams_) {
            if (name == "*" || name == upstream_name) {
                upstream->apply_control(command);
            }
        }
        respond(transport::make_json(http::status::ok, "{}"));
    }

private:
    std::map<std::string, std::unique_ptr<fake_upstream>>& upstreams_;
    run_counts& counts_;
};

} // namespace

int main(int argument_count, char** arguments)
{
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    std::ifstream file(FLAGS_document);
    std::ostringstream text;
    text << file.rdbuf();
    document::document_state state;
    (void)state.apply("document", text.str(), 1);
    const auto deployment = state.effective();
    if (!deployment) {
        std::cerr << "stand_in_upstreams: document \"" << FLAGS_document
                  << "\" is not valid\n";
        return 2;
    }
    asio::io_context context;
    run_counts counts;
    std::map<std::string, std::unique_ptr<fake_upstream>> fake_upstreams;
    for (const auto& upstream : deployment->upstreams()) {
        std::vector<policy::key_range> ranges;
        for (const auto& shard :
             deployment->shards_of_service(upstream.service)) {
            if (std::ranges::find(shard.replicas, upstream.id) !=
                shard.replicas.end()) {
                ranges.push_back(shard.range);
            }
        }
        auto fake = std::make_unique<fake_upstream>(context, upstream,
                                                    std::move(ranges), counts);
        const auto error = fake->listen();
        if (!error.empty()) {
            std::cerr << "stand_in_upstreams: upstream \"" << upstream.name
                      << "\": " << error << '\n';
            return 1;
        }
        fake_upstreams.emplace(upstream.name, std::move(fake));
    }
    control_port control(fake_upstreams, counts);
    auto server = http_server::create(
        context.get_executor(), *transport::endpoint::parse(FLAGS_control), {},
        [&](const transport::http_request& request,
            const http_server::respond& respond) {
            control.handle(request, respond);
        });
    if (!server) {
        std::cerr << "stand_in_upstreams: control port: " << server.error()
                  << '\n';
        return 1;
    }
    server.value()->start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
