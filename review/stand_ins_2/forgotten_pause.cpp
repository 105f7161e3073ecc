#include "pausing_server.hpp"

#include <iostream>

/// A server stands still for some seconds and its entry lapses. Once awake, it
/// checks in again and turns away what has waited, with Retry-After.
namespace
{

using namespace review;
using std::chrono::milliseconds;

constexpr milliseconds calm_time{3000};
/// The store removes an entry after three check-in intervals of 1.2 s without
/// a word of the server.
constexpr milliseconds lapse_time{3600};
constexpr milliseconds stall_time{4200};
constexpr std::chrono::seconds pause{3};

int run(const std::string& record_path)
{
    record notes(record_path);
    store platform;
    pausing_server stalling("server-1", pause, notes);
    pausing_server other("server-2", pause, notes);
    const auto entry = make_entry("orders", stalling.address(), "a");
    platform.put("op/config", make_orders_configuration());
    platform.put("servers/i-1", entry);
    platform.put("servers/i-2", make_entry("orders", other.address(), "a"));
    orders_stage orders(platform, notes);
    if (!orders.start()) {
        return exit_not_run;
    }
    std::this_thread::sleep_for(calm_time);

    const auto stalled_at = steady::now();
    stalling.stall();
    notes.write("server-1 stands still");
    // Where the disruption is left out, the check-ins of server-1 go on.
    if (has_trouble()) {
        std::this_thread::sleep_until(stalled_at + lapse_time);
        platform.remove("servers/i-1");
        notes.write("the store removes the entry of server-1, which has missed "
                    "three check-ins");
    }
    std::this_thread::sleep_until(stalled_at + stall_time);
    if (has_trouble()) {
        platform.put("servers/i-1", entry);
        notes.write("server-1 checks in again, with the same born");
    }
    stalling.wake();
    notes.write("server-1 goes on");
    std::this_thread::sleep_for(pause + milliseconds(500));
    orders.stop();
    return judge_pause(stalling, notes);
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 2) {
        std::cerr << "usage: forgotten_pause RECORD\n";
        return review::exit_not_run;
    }
    return run(arguments[1]);
}
