#include <tamarackhoist/policy/upstream_pause.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using policy::upstream_pause;
using runtime::time_point;

namespace
{

constexpr time_point start_of_test{1000s};

void nothing_is_sent_until_the_pause_has_ended()
{
    upstream_pause pause;
    cr_assert(!pause.held_until(start_of_test));
    pause.extend(4s, 0.0, start_of_test);
    cr_assert(pause.held_until(start_of_test) == start_of_test + 4s);
    cr_assert(pause.held_until(start_of_test + 3999ms).has_value());
    cr_assert(!pause.held_until(start_of_test + 4s));
}

/// Requests that were sent before the pause are answered during it, some of
/// them with pauses of their own.
void the_latest_end_counts()
{
    upstream_pause pause;
    pause.extend(4s, 0.0, start_of_test);
    pause.record_answer(start_of_test + 1s);
    pause.extend(1s, 0.0, start_of_test + 1s);
    cr_assert(pause.held_until(start_of_test + 1s) == start_of_test + 4s);
    pause.extend(4s, 0.0, start_of_test + 2s);
    cr_assert(pause.held_until(start_of_test + 2s) == start_of_test + 6s);
}

/// All requests that waited for the end of the pause would otherwise arrive in
/// one moment.
void the_return_begins_with_single_requests()
{
    upstream_pause pause;
    pause.extend(1s, 0.0, start_of_test);
    auto now = start_of_test + 1s;
    int sent = 0;
    for (; now < start_of_test + 2s; now += 10ms) {
        if (!pause.held_until(now)) {
            pause.record_sent(now);
            ++sent;
        }
    }
    cr_assert_eq(sent, 4, "%d", sent);
    pause.record_answer(now);
    cr_assert(!pause.held_until(now));
    pause.record_sent(now);
    cr_assert(!pause.held_until(now), "the return is over");
}

void a_late_answer_from_before_the_pause_does_not_end_the_return()
{
    upstream_pause pause;
    pause.extend(1s, 0.0, start_of_test);
    pause.record_answer(start_of_test + 1100ms);
    pause.record_sent(start_of_test + 1200ms);
    cr_assert(pause.held_until(start_of_test + 1210ms).has_value());
}

void a_trial_request_that_is_refused_begins_a_new_pause()
{
    upstream_pause pause;
    pause.extend(1s, 0.0, start_of_test);
    pause.record_sent(start_of_test + 1s);
    pause.extend(2s, 0.0, start_of_test + 1s);
    cr_assert(pause.held_until(start_of_test + 1s) == start_of_test + 3s);
}

/// The spread only ever lengthens a pause, by little.
void the_end_is_spread()
{
    for (const auto length : {100ms, 4000ms, 60000ms}) {
        upstream_pause none;
        upstream_pause full;
        none.extend(length, 0.0, start_of_test);
        full.extend(length, 1.0, start_of_test);
        const auto earliest = none.held_until(start_of_test);
        const auto latest = full.held_until(start_of_test);
        cr_assert(*earliest == start_of_test + length);
        cr_assert(*latest > *earliest);
        cr_assert(*latest <= *earliest + 300ms);
    }
}

} // namespace

Test(upstream_pause, held)
{
    nothing_is_sent_until_the_pause_has_ended();
}
Test(upstream_pause, latest_end)
{
    the_latest_end_counts();
}
Test(upstream_pause, single_requests)
{
    the_return_begins_with_single_requests();
}
Test(upstream_pause, late_answer)
{
    a_late_answer_from_before_the_pause_does_not_end_the_return();
}
Test(upstream_pause, refused_trial)
{
    a_trial_request_that_is_refused_begins_a_new_pause();
}
Test(upstream_pause, spread)
{
    the_end_is_spread();
}
