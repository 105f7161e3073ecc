// Simulates the configuration service and the VM list. Serves one value,
// `document`, and polls its file for changes; each change raises the revision.
// The body of POST /control/mode selects a fault: down, slow, stale, truncated
// or oversized. Any other body restores normal service.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <list>
#include <sstream>
#include <tamarackhoist/platform/platform_wire.hpp>
#include <tamarackhoist/transport/http_server.hpp>

DEFINE_string(listen, "127.0.0.1:7000", "ADDRESS:PORT to listen on");
DEFINE_string(document, "", "File that holds the document");
DEFINE_string(vms, "", "File that holds the VM list (JSON)");

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace tamarackhoist;
using transport::http_server;

constexpr auto poll_interval = std::chrono::milliseconds(50);
constexpr auto slow_response_delay = std::chrono::seconds(1);

/// Returns the contents of a file, or an empty string if it is unreadable.
std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

class configuration_service
{
public:
    explicit configuration_service(asio::io_context& context)
        : context_(context), timer_(context)
    {
        poll_file();
    }

    void handle(const transport::http_request& request,
                const http_server::respond& respond)
    {
        const std::string target(request.target());
        if (target.starts_with("/control/mode")) {
            mode_ = request.body();
            respond(transport::make_json(http::status::ok, "{}"));
            return;
        }
        if (target == "/stats") {
            respond(transport::make_json(
                http::status::ok,
                json::serialize(
                    json::object{{"reads", reads_}, {"revision", revision_}})));
            return;
        }
        ++reads_;
        if (mode_ == "down") {
            respond(
                transport::make_json(http::status::service_unavailable, "{}"));
        } else if (mode_ == "slow") {
            respond_delayed(target, respond);
        } else {
            respond_to_read(target, respond);
        }
    }

private:
    /// A long poll that waits for a revision greater than `after_revision`.
    struct pending_watch {
        std::uint64_t after_revision;
        std::chrono::steady_clock::time_point deadline;
        http_server::respond respond;
    };

    void respond_delayed(const std::string& target,
                         const http_server::respond& respond)
    {
        auto timer =
            std::make_shared<asio::steady_timer>(context_, slow_response_delay);
        timer->async_wait([this, timer, target, respond](auto) {
            respond_to_read(target, respond);
        });
    }

    void respond_to_read(const std::string& target,
                         const http_server::respond& respond)
    {
        if (target == platform::vm_list_path) {
            respond(
                transport::make_json(http::status::ok, read_file(FLAGS_vms)));
            return;
        }
        const auto query_parameter = [&](const std::string& name) {
            const auto position = target.find(name + "=");
            return position == std::string::npos
                       ? 0ULL
                       : std::strtoull(target.c_str() + position + name.size() +
                                           1,
                                       nullptr, 10);
        };
        const auto after = query_parameter("after");
        const auto wait = std::chrono::milliseconds(query_parameter("wait_ms"));
        if (revision_ > after || wait.count() == 0) {
            respond(make_value_response());
            return;
        }
        watches_.push_back(
            {after, std::chrono::steady_clock::now() + wait, respond});
    }

    /// Returns the response with the current value, damaged as the mode says.
    transport::http_response make_value_response() const
    {
        auto body = json::serialize(json::object{
            {"key", "document"}, {"revision", revision_}, {"value", text_}});
        if (mode_ == "truncated") {
            body.resize(body.size() / 2);
        }
        if (mode_ == "oversized") {
            body = json::serialize(json::object{
                {"key", "document"},
                {"revision", revision_ + 1},
                {"value", std::string(platform::max_value_bytes + 1, '#')}});
        }
        return transport::make_json(http::status::ok, std::move(body));
    }

    /// Reads the file, answers the watches that are due and reschedules itself.
    void poll_file()
    {
        auto text = read_file(FLAGS_document);
        // In mode "stale" the file's changes are ignored.
        if (mode_ != "stale" && !text.empty() && text != text_) {
            text_ = std::move(text);
            ++revision_;
        }
        const auto now = std::chrono::steady_clock::now();
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            if (revision_ > watch->after_revision) {
                watch->respond(make_value_response());
            } else if (now >= watch->deadline) {
                watch->respond(transport::make_response(
                    http::status::no_content, {}, "application/json"));
            } else {
                ++watch;
                continue;
            }
            watch = watches_.erase(watch);
        }
        timer_.expires_after(poll_interval);
        timer_.async_wait([this](auto) { poll_file(); });
    }

    asio::io_context& context_;
    asio::steady_timer timer_;
    std::string mode_;
    std::string text_;
    std::uint64_t revision_ = 0;
    std::uint64_t reads_ = 0;
    std::list<pending_watch> watches_;
};

} // namespace

int main(int argument_count, char** arguments)
{
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    asio::io_context context;
    configuration_service service(context);
    const auto address = transport::endpoint::parse(FLAGS_listen);
    auto server =
        http_server::create(context.get_executor(), *address, {},
                            [&](const transport::http_request& request,
                                const http_server::respond& respond) {
                                service.handle(request, respond);
                            });
    if (!server) {
        std::cerr << "stand_in_platform: " << server.error() << '\n';
        return 1;
    }
    server.value()->start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
}
