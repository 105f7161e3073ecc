#include <algorithm>
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
#include <sys/resource.h>
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

constexpr int exit_success = 0;
/// The server could not start.
constexpr int exit_failure = 1;
/// The arguments or the settings file are not valid.
constexpr int exit_usage_error = 2;

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

/// Reads and parses the file that --config names. Prints every error to
/// standard error and returns std::nullopt when there is one.
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

/// Runs the server until its graceful shutdown has ended. Signals are handled
/// on a separate thread: SIGHUP calls `on_reload`; SIGTERM and SIGINT request
/// the graceful shutdown. A repeated signal does not force an immediate exit.
template <typename Server>
void run_until_shut_down(Server& server, const std::function<void()>& on_reload)
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

/// Runs a server until its graceful shutdown has ended and returns the exit
/// code; a creation error is printed to standard error.
template <typename Server>
int serve(runtime::result<std::unique_ptr<Server>, std::string> server_result,
          const std::function<void(Server&)>& on_reload)
{
    if (!server_result) {
        std::cerr << "tamarackhoistd: " << server_result.error() << '\n';
        return exit_failure;
    }
    auto& server = *server_result.value();
    run_until_shut_down(server, [&] { on_reload(server); });
    return exit_success;
}

int run_node(node::node_settings settings)
{
    return serve<node::node>(
        node::node::create(std::move(settings), runtime::clock::boot()),
        [](node::node&) {
            runtime::log_event(runtime::event_number::settings_changed,
                               "takes effect at the next start");
        });
}

/// Returns `count`, lowered to the limit that the system sets.
std::size_t limit_descriptors(std::size_t count)
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return count;
    }
    return std::min<std::size_t>(count, limit.rlim_cur);
}

int run_gateway(node::gateway_settings settings)
{
    namespace adapter = tamarackhoist::adapter;
    settings.max_descriptors = limit_descriptors(settings.max_descriptors);
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
        [](node::gateway& gateway) { gateway.log_settings_change(); });
}

/// Runs one role with the settings of --config and ends the process. Returns
/// an exit code only when the settings are not valid or are merely checked.
template <typename Settings>
int run_role(int (*run)(Settings))
{
    auto settings = read_settings<Settings>();
    if (!settings) {
        return exit_usage_error;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": good\n";
        return exit_success;
    }
    runtime::configure_log(settings->name);
    const auto exit_code = run(std::move(*settings));
    runtime::flush_log();
    // Ends the process without destructors, because the log's writer thread
    // may still be blocked in a write.
    std::_Exit(exit_code);
}

} // namespace

int main(int argument_count, char** arguments)
{
    // The settings have not been read yet, so that a change of them needs no
    // action. By default the signal would end the process.
    static_cast<void>(std::signal(SIGHUP, SIG_IGN));
    gflags::SetUsageMessage(
        "runs one node of the query tier\n"
        "  tamarackhoistd --config FILE [--role node|gateway] "
        "[--check_config]");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    const bool is_role_known = FLAGS_role == "node" || FLAGS_role == "gateway";
    if (FLAGS_config.empty() || argument_count > 1 || !is_role_known) {
        std::cerr << "usage: tamarackhoistd --config FILE "
                     "[--role node|gateway] [--check_config]\n";
        return exit_usage_error;
    }
    return FLAGS_role == "gateway" ? run_role(run_gateway) : run_role(run_node);
}
