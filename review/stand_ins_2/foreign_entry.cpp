#include "pausing_server.hpp"

#include <iostream>

/// A server asks for a pause with Retry-After. Meanwhile another writer puts an
/// entry with an unknown service in its place, which it corrects at its next
/// check-in.
namespace
{

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds calm_time{3000};
constexpr std::chrono::seconds pause{5};
constexpr milliseconds time_to_foreign_entry{800};
constexpr milliseconds check_in_interval{1200};
/// Both gateways are turned away at least once.
constexpr int turned_away = 6;

int run(const std::string& record_path)
{
    record notes(record_path);
    store platform;
    pausing_server pausing("server-1", pause, notes);
    pausing_server other("server-2", pause, notes);
    const auto entry = make_entry("orders", pausing.address(), "a");
    platform.put("op/config", make_orders_configuration());
    platform.put("servers/i-1", entry);
    platform.put("servers/i-2", make_entry("orders", other.address(), "a"));
    orders_stage orders(platform, notes);
    if (!orders.start()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(calm_time);

    pausing.turn_away(turned_away);
    notes.write("server-1 is full for a moment");
    std::this_thread::sleep_for(time_to_foreign_entry);
    if (has_trouble()) {
        platform.put("servers/i-1",
                     make_entry("no-such-service", pausing.address(), "a"));
        notes.write("another writer names an unknown service in the entry of "
                    "server-1");
        std::this_thread::sleep_for(check_in_interval);
        platform.put("servers/i-1", entry);
        notes.write("server-1 checks in, with the same born as before");
    }
    std::this_thread::sleep_for(pause);
    orders.stop();
    return judge_pause(pausing, notes);
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 2) {
        std::cerr << "usage: foreign_entry RECORD\n";
        return review::exit_not_run;
    }
    return run(arguments[1]);
}
