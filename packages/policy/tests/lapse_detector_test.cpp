#include <tamarackhoist/policy/lapse_detector.hpp>
#include <tamarackhoist/policy/news_role.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;

namespace
{

constexpr runtime::time_point start_of_test{1000s};
/// Time between two looks of a node at its role, and for the first answer of
/// the store.
constexpr auto reaction_time = 100ms;

/// Returns after which time without a confirmation the node of `rank` reads the
/// store itself, although its peers go on sending.
runtime::duration find_hand_over_time(const policy::news_role::options& options,
                                      std::size_t rank)
{
    policy::news_role role(options, start_of_test);
    auto elapsed = 0ms;
    while (!role.should_follow_service(rank, true, start_of_test + elapsed)) {
        elapsed += 10ms;
        role.record_peer_contact(start_of_test + elapsed);
    }
    return elapsed;
}

/// Guards against a mere hand-over of reading that counts as an absence of the
/// store: at longer deadlines than 3 s nodes waited longer for the news than
/// registrations take to lapse, and kept upstreams that had gone.
void a_hand_over_of_reading_is_no_absence()
{
    for (const auto deadline : {1500ms, 3000ms, 5000ms, 6000ms, 60'000ms}) {
        const auto options = policy::news_role::options::for_deadline(deadline);
        for (const std::size_t rank : {1U, 2U, 3U, 4U, 40U}) {
            const auto time = find_hand_over_time(options, rank);
            policy::lapse_detector detector;
            detector.record_confirmation(start_of_test);
            cr_assert(!detector.may_have_lapsed(
                          start_of_test + time + reaction_time, false),
                      "deadline %lld ms, rank %zu: after %lld ms",
                      static_cast<long long>(deadline.count()), rank,
                      static_cast<long long>(runtime::to_milliseconds(time)));
        }
    }
}

void registrations_lapse_while_the_store_is_away()
{
    policy::lapse_detector detector;
    detector.record_confirmation(start_of_test);
    cr_assert(!detector.may_have_lapsed(start_of_test + 2s, false));
    cr_assert(detector.may_have_lapsed(start_of_test + 2400ms, false));
    detector.record_confirmation(start_of_test + 2400ms);
    cr_assert(!detector.may_have_lapsed(start_of_test + 2500ms, false),
              "an absence ends with the first answer");
}

/// A short outage of the store: two renewals of a live upstream fail, and the
/// third one comes a moment too late. The node's own calls fail as well. Those
/// of a node that is cut off alone prove nothing while its peers have answers.
void registrations_lapse_in_a_short_absence_that_the_node_has_seen()
{
    policy::lapse_detector detector;
    detector.record_confirmation(start_of_test);
    cr_assert(detector.may_have_lapsed(start_of_test + 1600ms, true));
    cr_assert(!detector.may_have_lapsed(start_of_test + 1400ms, true));
    detector.record_confirmation(start_of_test + 4500ms);
    cr_assert(!detector.may_have_lapsed(start_of_test + 5s, true));
}

/// News of a peer that are older than what is known, as after a held up push,
/// neither hide an absence nor look like one.
void older_confirmations_are_ignored()
{
    policy::lapse_detector detector;
    detector.record_confirmation(start_of_test + 10s);
    cr_assert(!detector.may_have_lapsed(start_of_test, true));
    detector.record_confirmation(start_of_test);
    cr_assert(!detector.may_have_lapsed(start_of_test + 11s, true));
    cr_assert(detector.may_have_lapsed(start_of_test + 13s, false));
}

void a_first_confirmation_tells_of_no_time_before()
{
    const policy::lapse_detector detector;
    cr_assert(detector.may_have_lapsed(start_of_test, false));
}

} // namespace

Test(lapse_detector, hand_over)
{
    a_hand_over_of_reading_is_no_absence();
}
Test(lapse_detector, absence)
{
    registrations_lapse_while_the_store_is_away();
}
Test(lapse_detector, short_absence)
{
    registrations_lapse_in_a_short_absence_that_the_node_has_seen();
}
Test(lapse_detector, older_confirmation)
{
    older_confirmations_are_ignored();
}
Test(lapse_detector, first_confirmation)
{
    a_first_confirmation_tells_of_no_time_before();
}
