#include <tamarackhoist/policy/shutdown_schedule.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using policy::shutdown_phase;
using policy::shutdown_schedule;

namespace
{

void a_stop_passes_through_every_phase_in_order()
{
    const shutdown_schedule schedule(6s);
    cr_assert(schedule.phase_at(0s) == shutdown_phase::accepting);
    cr_assert(schedule.phase_at(2499ms) == shutdown_phase::accepting);
    cr_assert(schedule.phase_at(2500ms) == shutdown_phase::forwarding);
    cr_assert(schedule.phase_at(4499ms) == shutdown_phase::forwarding);
    cr_assert(schedule.phase_at(4500ms) == shutdown_phase::awaiting_answers);
    cr_assert(schedule.phase_at(5549ms) == shutdown_phase::awaiting_answers);
    cr_assert(schedule.phase_at(5550ms) == shutdown_phase::ending_requests);
    cr_assert(schedule.phase_at(5699ms) == shutdown_phase::ending_requests);
    cr_assert(schedule.phase_at(5700ms) == shutdown_phase::over);
}

/// With any grace period, requests are ended before the process is, and the
/// process ends before it is killed.
void requests_are_ended_before_the_process()
{
    for (auto grace = 500ms; grace <= 60s; grace += 100ms) {
        const shutdown_schedule schedule(grace);
        auto previous = shutdown_phase::accepting;
        bool are_requests_ended = false;
        for (auto elapsed = 0ms; elapsed <= grace; elapsed += 50ms) {
            const auto phase = schedule.phase_at(elapsed);
            cr_assert(phase >= previous);
            previous = phase;
            are_requests_ended =
                are_requests_ended || phase == shutdown_phase::ending_requests;
        }
        cr_assert(are_requests_ended);
        cr_assert(previous == shutdown_phase::over);
    }
}

} // namespace

Test(shutdown_schedule, phases)
{
    a_stop_passes_through_every_phase_in_order();
}
Test(shutdown_schedule, any_grace)
{
    requests_are_ended_before_the_process();
}
