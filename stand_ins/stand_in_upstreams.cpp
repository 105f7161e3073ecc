// Stand-in for every upstream of a document, each on its own port: slots, a
// short backlog, a service time, index versions, drains, sheds, cancellation
// by closing the connection, and a count of what ran. Faults are set with
// POST /control on the control port: {"upstream": NAME, ...}.

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
DEFINE_string(control, "127.0.0.1:7001", "Address of the control port");
DEFINE_double(service_ms, 4, "Mean service time of one request");
DEFINE_uint64(seed, 1, "Seed of the service times");

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace header = tamarackhoist::upstreams::header;
using namespace tamarackhoist;
using transport::http_server;

constexpr std::size_t backlog = 16;
constexpr int items_per_shard = 4;

/// Orders that ran, by their body, and requests that ran, over all upstreams.
struct run_counts {
    std::map<std::string, int> orders;
    std::uint64_t requests = 0;
    std::uint64_t while_draining = 0;
};

class fake_upstream
{
public:
    fake_upstream(asio::io_context& context, const policy::upstream& described,
                  std::vector<policy::key_range> ranges, run_counts& counts)
        : context_(context), described_(described), ranges_(std::move(ranges)),
          counts_(counts), random_(FLAGS_seed + described.id.value)
    {
    }

    std::string listen()
    {
        auto server = http_server::create(
            context_.get_executor(), {described_.address, described_.port}, {},
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

    void control(const json::object& command)
    {
        if (const auto* value = command.if_contains("factor")) {
            factor_ = value->to_number<double>();
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
    struct job {
        transport::http_request request;
        http_server::respond respond;
    };

    void handle(const transport::http_request& request,
                const http_server::respond& respond)
    {
        if (request.target() == upstreams::health_path) {
            respond(finish(transport::make_json(http::status::ok, "{}")));
            return;
        }
        if (waiting_.size() >= backlog) {
            auto shed =
                transport::make_json(http::status::service_unavailable, "{}");
            shed.set(header::not_run, "1");
            respond(finish(std::move(shed)));
            return;
        }
        waiting_.push_back({request, respond});
        start_next();
    }

    transport::http_response finish(transport::http_response response) const
    {
        const auto version = std::to_string(version_);
        response.set(header::versions, version + "-" + version);
        response.set(header::draining, is_draining_ ? "1" : "0");
        return response;
    }

    void start_next()
    {
        if (running_ >= described_.slots || waiting_.empty()) {
            return;
        }
        ++running_;
        ++counts_.requests;
        counts_.while_draining += is_draining_ ? 1 : 0;
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        const auto mean = FLAGS_service_ms * factor_;
        std::gamma_distribution<> service(4, mean / 4);
        auto timer = std::make_shared<asio::steady_timer>(
            context_, std::chrono::microseconds(
                          static_cast<std::int64_t>(service(random_) * 1e3)));
        timer->async_wait([this, timer, moved = std::move(next)](auto) {
            --running_;
            answer(moved);
            start_next();
        });
    }

    void answer(const job& done)
    {
        if (done.request.target() == upstreams::order_path) {
            ++counts_.orders[done.request.body()];
            if (loses_replies_) {
                auto lost =
                    transport::make_json(http::status::bad_gateway, "{}");
                done.respond(finish(std::move(lost)));
                return;
            }
            done.respond(finish(transport::make_json(http::status::ok,
                                                     R"({"confirmed":true})")));
            return;
        }
        const std::string wanted(done.request[header::version]);
        if (wanted != "0" && wanted != std::to_string(version_)) {
            done.respond(
                finish(transport::make_json(http::status::conflict, "{}")));
            return;
        }
        const std::string range_text(done.request[header::key_range]);
        const auto range = upstreams::parse_range(range_text);
        const auto covered = policy::key_range_set(ranges_).intersection(
            range.value_or(policy::key_range{}));
        json::array items;
        for (const auto& part : ranges_) {
            const auto step = part.size() / items_per_shard;
            for (int each = 0; each < items_per_shard; ++each) {
                const auto position =
                    part.begin + step * static_cast<policy::key>(each);
                if (covered.contains(position)) {
                    items.push_back({{"key", position},
                                     {"value", {{"version", version_}}}});
                }
            }
        }
        auto response = transport::make_json(
            http::status::ok, json::serialize(json::object{{"items", items}}));
        response.set(header::version, std::to_string(version_));
        response.set(header::covered, upstreams::format_ranges(covered));
        done.respond(finish(std::move(response)));
    }

    asio::io_context& context_;
    const policy::upstream described_;
    const std::vector<policy::key_range> ranges_;
    run_counts& counts_;
    std::mt19937_64 random_;
    std::shared_ptr<http_server> server_;
    std::deque<job> waiting_;
    std::size_t running_ = 0;
    double factor_ = 1;
    std::uint64_t version_ = 1;
    bool is_draining_ = false;
    bool loses_replies_ = false;
};

class control_port
{
public:
    control_port(std::map<std::string, std::unique_ptr<fake_upstream>>& all,
                 run_counts& counts)
        : upstreams_(all), counts_(counts)
    {
    }

    void handle(const transport::http_request& request,
                const http_server::respond& respond)
    {
        if (request.target() == "/stats") {
            int doubled = 0;
            for (const auto& [body, runs] : counts_.orders) {
                doubled += runs > 1 ? 1 : 0;
            }
            respond(transport::make_json(
                http::status::ok,
                json::serialize(
                    json::object{{"requests", counts_.requests},
                                 {"orders", counts_.orders.size()},
                                 {"doubled", doubled},
                                 {"while_draining", counts_.while_draining}})));
            return;
        }
        const auto command = json::parse(request.body()).as_object();
        const std::string name(command.at("upstream").as_string());
        for (auto& [each_name, each] : upstreams_) {
            if (name == "*" || name == each_name) {
                each->control(command);
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
        std::cerr << "document \"" << FLAGS_document << "\" is not valid\n";
        return 2;
    }
    asio::io_context context;
    run_counts counts;
    std::map<std::string, std::unique_ptr<fake_upstream>> all;
    for (const auto& described : deployment->upstreams()) {
        std::vector<policy::key_range> ranges;
        for (const auto& shard :
             deployment->shards_of_service(described.service)) {
            if (std::ranges::find(shard.replicas, described.id) !=
                shard.replicas.end()) {
                ranges.push_back(shard.range);
            }
        }
        auto added = std::make_unique<fake_upstream>(context, described,
                                                     std::move(ranges), counts);
        const auto error = added->listen();
        if (!error.empty()) {
            std::cerr << error << '\n';
            return 1;
        }
        all.emplace(described.name, std::move(added));
    }
    control_port control(all, counts);
    auto server = http_server::create(
        context.get_executor(), *transport::endpoint::parse(FLAGS_control), {},
        [&](const transport::http_request& request,
            const http_server::respond& respond) {
            control.handle(request, respond);
        });
    if (!server) {
        std::cerr << server.error() << '\n';
        return 1;
    }
    server.value()->start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
