#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <tamarackhoist/adapter/store_client.hpp>
#include <tamarackhoist/adapter/store_codec.hpp>
#include <tamarackhoist/adapter/wire_names.hpp>
#include <tamarackhoist/node/gateway.hpp>
#include <tamarackhoist/node/gateway_settings.hpp>
#include <tamarackhoist/node/node.hpp>
#include <tamarackhoist/node/node_settings.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <thread>

DEFINE_string(config, "", "Settings file of this node (INI)");
DEFINE_string(role, "node",
              "node: serves the document's queries; gateway: forwards "
              "requests by the platform's configuration");
DEFINE_bool(check_config, false, "Check the settings file and exit");

namespace
{

namespace node = tamarackhoist::node;
namespace runtime = tamarackhoist::runtime;

constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_wrong_use = 2;

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "tamarackhoistd: cannot read settings file \"" << path
                  << "\"\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

template <typename Settings>
std::optional<Settings> read_settings()
{
    const auto text = read_file(FLAGS_config);
    if (!text) {
        return std::nullopt;
    }
    auto settings = Settings::parse(*text);
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::cerr << FLAGS_config << ": " << error.to_text() << '\n';
        }
        return std::nullopt;
    }
    return std::move(settings).value();
}

// Signals are handled on a thread of their own. Each one only asks for the
// graceful shutdown, so a second one cuts nothing off.
template <typename Server>
void run_until_signalled(Server& server, const std::function<void()>& on_reload)
{
    boost::asio::io_context signal_context;
    boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT, SIGHUP);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](boost::system::error_code error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                on_reload();
            } else {
                server.shut_down();
            }
            wait_for_signal();
        });
    };
    wait_for_signal();
    std::jthread signal_thread([&] { signal_context.run(); });
    server.run();
    signal_context.stop();
}

template <typename Server>
int serve(runtime::result<std::unique_ptr<Server>, std::string> created,
          const std::function<void(Server&)>& on_reload)
{
    if (!created) {
        std::cerr << "tamarackhoistd: " << created.error() << '\n';
        return exit_failed;
    }
    auto& server = *created.value();
    run_until_signalled(server, [&] { on_reload(server); });
    return exit_good;
}

int run_node(node::node_settings settings)
{
    return serve<node::node>(
        node::node::create(std::move(settings), runtime::clock::boot()),
        [](node::node&) {
            runtime::log_event(runtime::event_number::settings_changed,
                               "in force at the next start");
        });
}

int run_gateway(node::gateway_settings settings)
{
    namespace adapter = tamarackhoist::adapter;
    return serve<node::gateway>(
        node::gateway::create(
            std::move(settings), runtime::clock::boot(),
            {.fields = adapter::forward_header_names(),
             .make_store =
                 [](boost::asio::io_context& context,
                    const tamarackhoist::transport::endpoint& store) {
                     return std::make_shared<adapter::store_client>(context,
                                                                    store)
                         ->calls();
                 },
             .decode = adapter::decode_item}),
        [](node::gateway& running) { running.log_settings_change(); });
}

template <typename Settings>
int run_role(int (*run)(Settings))
{
    auto settings = read_settings<Settings>();
    if (!settings) {
        return exit_wrong_use;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": good\n";
        return exit_good;
    }
    runtime::configure_log(settings->name);
    const auto code = run(std::move(*settings));
    runtime::flush_log();
    // The thread that writes the log may be stuck in a write.
    std::_Exit(code);
}

} // namespace

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage(
        "runs one node of the query tier\n"
        "  tamarackhoistd --config FILE [--role node|gateway] "
        "[--check_config]");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const bool is_role_known = FLAGS_role == "node" || FLAGS_role == "gateway";
    if (FLAGS_config.empty() || argument_count > 1 || !is_role_known) {
        std::cerr << "usage: tamarackhoistd --config FILE "
                     "[--role node|gateway] [--check_config]\n";
        return exit_wrong_use;
    }
    return FLAGS_role == "gateway" ? run_role(run_gateway) : run_role(run_node);
}
