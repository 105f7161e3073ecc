#include <tamarackhoist/policy/load_monitor.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using runtime::time_point;

namespace
{

/// A monitor that gets four samples a second.
class monitor_fixture
{
public:
    void pass(runtime::duration time, runtime::duration lateness)
    {
        for (const auto end = now + time; now < end; now += 250ms) {
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

/// Pattern: a VM is slowed down until its requests queue.
void a_slowed_node_steps_back_within_a_second()
{
    monitor_fixture node;
    node.pass(10s, 2ms);
    cr_assert(!node.is_overloaded());
    node.pass(1s, 80ms);
    cr_assert(node.is_overloaded());
    // Without its callers it is fast, and takes them again.
    node.pass(2s, 2ms);
    cr_assert(!node.is_overloaded());
}

/// Pattern: the VM stays slow. The node does not come and go every few
/// seconds.
void a_node_that_relapses_steps_back_for_longer()
{
    monitor_fixture node;
    node.pass(1s, 80ms);
    node.pass(2s, 2ms);
    node.pass(1s, 80ms);
    node.pass(3s, 2ms);
    cr_assert(node.is_overloaded());
    node.pass(1s, 2ms);
    cr_assert(!node.is_overloaded());
    // Long after, it begins with a short time again.
    node.pass(20s, 2ms);
    node.pass(1s, 80ms);
    node.pass(2s, 2ms);
    cr_assert(!node.is_overloaded());
}

/// Pattern: the process stood still once, or used up its share of a core for
/// a moment.
void single_delays_prove_nothing()
{
    monitor_fixture node;
    for (int round = 0; round < 20; ++round) {
        node.pass(500ms, round % 2 == 0 ? 10s : 75ms);
        node.pass(250ms, 2ms);
        cr_assert(!node.is_overloaded());
    }
}

} // namespace

Test(load_monitor, slowed)
{
    a_slowed_node_steps_back_within_a_second();
}
Test(load_monitor, relapse)
{
    a_node_that_relapses_steps_back_for_longer();
}
Test(load_monitor, single_delays)
{
    single_delays_prove_nothing();
}
