#include <tamarackhoist/policy/load_monitor.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using runtime::time_point;

namespace
{

/// A monitor that receives four samples a second.
class monitor_fixture
{
public:
    void advance_time(runtime::duration duration, runtime::duration lateness)
    {
        for (const auto end = now + duration; now < end; now += 250ms) {
            monitor.record_lateness(lateness, now);
        }
    }

    [[nodiscard]] bool is_overloaded() const
    {
        return monitor.is_overloaded(now);
    }

    time_point now{1000s};
    policy::load_monitor monitor;
};

/// A VM is slowed down until its requests queue.
void a_slow_node_is_overloaded_within_a_second()
{
    monitor_fixture node;
    node.advance_time(10s, 2ms);
    cr_assert(!node.is_overloaded());
    node.advance_time(1s, 80ms);
    cr_assert(node.is_overloaded());
    // Without load it is fast again, so the back-off ends.
    node.advance_time(2s, 2ms);
    cr_assert(!node.is_overloaded());
}

/// The VM stays slow: the node must not alternate between serving and backing
/// off every few seconds.
void repeated_overload_doubles_the_backoff()
{
    monitor_fixture node;
    node.advance_time(1s, 80ms);
    node.advance_time(2s, 2ms);
    node.advance_time(1s, 80ms);
    node.advance_time(3s, 2ms);
    cr_assert(node.is_overloaded());
    node.advance_time(1s, 2ms);
    cr_assert(!node.is_overloaded());
    // After a long time without overload, the initial back-off applies again.
    node.advance_time(20s, 2ms);
    node.advance_time(1s, 80ms);
    node.advance_time(2s, 2ms);
    cr_assert(!node.is_overloaded());
}

/// The process is paused once, or briefly exhausts its CPU quota.
void isolated_delays_are_not_overload()
{
    monitor_fixture node;
    for (int round = 0; round < 20; ++round) {
        node.advance_time(500ms, round % 2 == 0 ? 10s : 75ms);
        node.advance_time(250ms, 2ms);
        cr_assert(!node.is_overloaded());
    }
}

} // namespace

Test(load_monitor, slow_node)
{
    a_slow_node_is_overloaded_within_a_second();
}
Test(load_monitor, repeated_overload)
{
    repeated_overload_doubles_the_backoff();
}
Test(load_monitor, isolated_delays)
{
    isolated_delays_are_not_overload();
}
