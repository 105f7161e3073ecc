#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <string>
#include <tamarackhoist/node/node.hpp>
#include <tamarackhoist/node/node_settings.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <thread>

DEFINE_string(config, "", "Settings file of this node (INI)");
DEFINE_bool(check_config, false, "Check the settings file and exit");

namespace
{

constexpr int exit_good = 0;
constexpr int exit_failed = 1;
constexpr int exit_wrong_use = 2;

int run()
{
    using tamarackhoist::node::node;
    using tamarackhoist::node::node_settings;

    std::ifstream file(FLAGS_config);
    if (!file) {
        std::cerr << "tamarackhoistd: cannot read settings file \""
                  << FLAGS_config << "\"\n";
        return exit_wrong_use;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto settings = node_settings::parse(text.str());
    if (!settings) {
        for (const auto& error : settings.error()) {
            std::cerr << FLAGS_config << ": " << error.to_text() << '\n';
        }
        return exit_wrong_use;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": good\n";
        return exit_good;
    }
    tamarackhoist::runtime::configure_log();
    auto created =
        node::create(settings.value(), tamarackhoist::runtime::clock::boot());
    if (!created) {
        std::cerr << "tamarackhoistd: " << created.error() << '\n';
        return exit_failed;
    }
    auto& running = *created.value();

    // Signals are handled on a thread of their own. Each one only asks for
    // the graceful shutdown, so a second one cuts nothing off.
    boost::asio::io_context signal_context;
    boost::asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    std::function<void()> wait_for_signal = [&] {
        signals.async_wait([&](boost::system::error_code error, int) {
            if (error) {
                return;
            }
            running.shut_down();
            wait_for_signal();
        });
    };
    wait_for_signal();
    std::jthread signal_thread([&] { signal_context.run(); });
    running.run();
    signal_context.stop();
    return exit_good;
}

} // namespace

int main(int argument_count, char** arguments)
{
    gflags::SetUsageMessage("runs one node of the query tier\n"
                            "  tamarackhoistd --config FILE [--check_config]");
    gflags::ParseCommandLineFlags(&argument_count, &arguments, true);
    if (FLAGS_config.empty() || argument_count > 1) {
        std::cerr << "usage: tamarackhoistd --config FILE "
                     "[--check_config]\n";
        return exit_wrong_use;
    }
    return run();
}
