#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <string>
#include <tamarackhoist/platform/news_follower.hpp>
#include <tamarackhoist/runtime/paused_clock.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using platform::news_batch;
using store_items = const std::vector<policy::store_item>&;
using platform::store_error;
using platform::store_response;

namespace
{

policy::store_item registration(const std::string& id)
{
    return {"servers/" + id, "value", {0, 1}, false};
}

/// A follower of a fake store that gives prepared responses. Records the
/// calls that the store receives and the events that the follower reports.
class follower_fixture
{
public:
    follower_fixture()
        : follower(std::make_shared<platform::news_follower>(
              context, runtime::clock::boot(),
              platform::news_follower::options{.watch_timeout = 20ms,
                                               .batching_delay = 1ms,
                                               .initial_retry_delay = 2ms,
                                               .max_retry_delay = 5ms},
              platform::store_calls{
                  [this](const std::optional<std::string>& after,
                         platform::store_calls::handler handle) {
                      calls.push_back("list " + after.value_or("-"));
                      respond(std::move(handle));
                  },
                  [this](std::uint64_t after, runtime::duration wait,
                         platform::store_calls::handler handle) {
                      calls.push_back("watch " + std::to_string(after));
                      is_watch_held.push_back(wait > 1ms);
                      respond(std::move(handle));
                  }},
              platform::news_follower::observer{
                  [this](store_items items, policy::store_position) {
                      events.push_back("listed " +
                                       std::to_string(items.size()));
                  },
                  [this](store_items items, policy::store_position) {
                      if (!items.empty()) {
                          events.push_back("changed " +
                                           std::to_string(items.size()));
                      }
                  },
                  [this](std::uint32_t) { events.push_back("regained"); },
                  [this](store_error error) {
                      events.push_back(platform::to_string(error));
                  },
                  [this](std::uint64_t before, std::uint64_t era) {
                      events.push_back("era " + std::to_string(before) + " " +
                                       std::to_string(era));
                  }}))
    {
    }

    void run(std::initializer_list<store_response> responses)
    {
        responses_.assign(responses.begin(), responses.end());
        follower->resume();
        context.run_for(200ms);
    }

    /// Ends the call that has got no response and processes events.
    void answer_pending(store_response response)
    {
        pending_(std::move(response));
        context.restart();
        context.run_for(50ms);
    }

    boost::asio::io_context context;
    std::vector<std::string> calls;
    /// For each watch, whether the store was asked to wait for changes.
    std::vector<bool> is_watch_held;
    std::vector<std::string> events;
    std::shared_ptr<platform::news_follower> follower;

private:
    void respond(platform::store_calls::handler handle)
    {
        if (responses_.empty()) {
            pending_ = std::move(handle);
            return;
        }
        boost::asio::post(
            context, [handle = std::move(handle),
                      response = responses_.front()] { handle(response); });
        responses_.pop_front();
    }

    std::deque<store_response> responses_;
    /// Handler of the last call that got no response.
    platform::store_calls::handler pending_;
};

using strings = std::vector<std::string>;

/// Pages are read at different revisions and form no snapshot. The watch must
/// start at the revision of the first page, or changes made while the later
/// pages were read would be missed.
void the_watch_starts_at_the_revision_of_the_first_page()
{
    follower_fixture fixture;
    fixture.run({news_batch{{registration("a")}, 7, "servers/a"},
                 news_batch{{registration("b")}, 9, {}},
                 news_batch{{registration("c")}, 10, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "list servers/a", "watch 7", "watch 10"}));
    cr_assert(fixture.events == (strings{"listed 2", "changed 1"}));
}

/// A store whose pages lead back to an earlier one would be listed forever, and
/// the items would fill the memory.
void a_listing_without_end_is_given_up()
{
    follower_fixture fixture;
    fixture.run({news_batch{{registration("a")}, 7, "servers/b"},
                 news_batch{{registration("b")}, 7, "servers/b"},
                 news_batch{{registration("a")}, 8, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "list servers/b", "list -", "watch 8"}));
    cr_assert(fixture.events ==
              (strings{"no usable answer", "regained", "listed 1"}));
}

void a_listing_that_exceeds_the_memory_limit_is_given_up()
{
    const std::string megabyte(1024 * 1024, 'v');
    news_batch page{{}, 7, {}};
    for (int number = 0; number < 20; ++number) {
        page.items.push_back(
            {"servers/" + std::to_string(number), megabyte, {0, 1}, false});
    }
    auto first = page;
    first.next_page = "servers/a";
    auto second = page;
    second.next_page = "servers/b";
    follower_fixture fixture;
    fixture.run({first, second, news_batch{{registration("a")}, 8, {}}});
    cr_assert(fixture.events ==
              (strings{"no usable answer", "regained", "listed 1"}));
}

void a_lost_history_causes_a_new_listing()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, store_error::history_lost,
                 news_batch{{registration("a")}, 20, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "list -", "watch 20"}));
    cr_assert(fixture.events ==
              (strings{"listed 0", "history lost", "listed 1"}));
}

/// Large configurations in quick succession while the node could not read: the
/// answer to a watch stays too long for as long as the store keeps its history.
void changes_that_are_too_large_are_listed_instead()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, store_error::answer_too_large,
                 news_batch{{registration("a")}, 20, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "list -", "watch 20"}));
    cr_assert(fixture.events ==
              (strings{"listed 0", "answer too large", "listed 1"}));
}

/// A page that is too large would be as large at once again.
void a_page_that_is_too_large_is_retried_later()
{
    follower_fixture fixture;
    fixture.run({store_error::answer_too_large,
                 news_batch{{registration("a")}, 8, {}}});
    cr_assert(fixture.events ==
              (strings{"answer too large", "regained", "listed 1"}));
}

void a_failed_watch_is_retried_from_the_same_revision()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, store_error::refused,
                 store_error::unavailable,
                 news_batch{{registration("a")}, 8, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "watch 7", "watch 7", "watch 8"}));
    cr_assert(fixture.events ==
                  (strings{"listed 0", "turned away", "regained", "changed 1"}),
              "the recovery is reported before the changes, so that lapsed "
              "registrations get their grace period");
}

void a_failed_page_restarts_the_listing()
{
    follower_fixture fixture;
    fixture.run({news_batch{{registration("a")}, 7, "servers/a"},
                 store_error::unavailable,
                 news_batch{{registration("a"), registration("b")}, 8, {}}});
    cr_assert(fixture.calls ==
              (strings{"list -", "list servers/a", "list -", "watch 8"}));
    cr_assert(fixture.events ==
              (strings{"no usable answer", "regained", "listed 2"}));
}

store_response make_answer(std::uint64_t era, std::uint64_t revision,
                           std::optional<std::string> next_page = {})
{
    return {news_batch{{registration("a")}, revision, std::move(next_page)},
            {era}};
}

/// Guards against a node that takes all that is written to a restored store for
/// older than what it holds, as its revisions have gone back.
void a_lost_history_in_a_new_era_causes_a_new_listing()
{
    follower_fixture fixture;
    fixture.run({store_response(news_batch{{}, 7, {}}, {1}),
                 store_response(store_error::refused),
                 store_response(store_error::history_lost, {2}),
                 store_response(news_batch{{}, 5, {}}, {2})});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "watch 7", "list -", "watch 5"}));
    cr_assert(fixture.events ==
              (strings{"listed 0", "turned away", "era 1 2", "regained",
                       "history lost", "listed 0"}));
}

/// Guards against changes that are never read: the restored store has passed
/// the revision held, so that no answer says that history was lost.
void changes_of_a_new_era_cause_a_new_listing()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7), make_answer(2, 9), make_answer(2, 9)});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "list -", "watch 9"}));
    cr_assert(fixture.events == (strings{"listed 1", "era 1 2", "listed 1"}));
}

/// The store turns this node away after it was restored.
void a_refusal_of_a_new_era_causes_a_new_listing()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7), store_response(store_error::refused, {2}),
                 make_answer(2, 9)});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "list -", "watch 9"}));
    cr_assert(fixture.events == (strings{"listed 1", "era 1 2", "turned away",
                                         "regained", "listed 1"}));
}

/// Guards against a list whose first page is of another era than the others.
void a_new_era_between_pages_restarts_the_listing()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7, "servers/a"), make_answer(2, 3),
                 make_answer(2, 3, "servers/a"), make_answer(2, 4)});
    cr_assert(fixture.calls == (strings{"list -", "list servers/a", "list -",
                                        "list servers/a", "watch 3"}));
    cr_assert(fixture.events == (strings{"era 1 2", "listed 2"}));
}

void several_new_eras_cause_one_listing_each()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7), make_answer(2, 3),
                 make_answer(2, 3, "servers/a"), make_answer(3, 8),
                 make_answer(3, 8), make_answer(4, 2), make_answer(4, 2)});
    cr_assert(fixture.events == (strings{"listed 1", "era 1 2", "era 2 3",
                                         "listed 1", "era 3 4", "listed 1"}));
    cr_assert_eq(fixture.calls.back(), "watch 2");
}

/// An answer that was on its way when the store was restored says nothing of
/// the store as it is.
void an_answer_of_an_earlier_era_is_dropped()
{
    follower_fixture fixture;
    fixture.run({make_answer(2, 7), make_answer(1, 90), make_answer(2, 8)});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "watch 7", "watch 8"}));
    cr_assert(fixture.events == (strings{"listed 1", "answer of an earlier era",
                                         "regained", "changed 1"}));
    cr_assert_eq(fixture.follower->outdated_response_count(), 1U);
}

/// Eras that are missing or no number must not look like a restore.
void a_missing_or_malformed_era_has_no_effect()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7),
                 store_response(news_batch{{registration("b")}, 8, {}}),
                 store_response(news_batch{{registration("c")}, 9, {}},
                                {std::nullopt, true}),
                 store_response(store_error::refused, {std::nullopt, true})});
    cr_assert(fixture.calls ==
              (strings{"list -", "watch 7", "watch 8", "watch 9", "watch 9"}));
    cr_assert_eq(fixture.follower->malformed_era_count(), 2U);
}

/// Guards against a node that drops every answer of a store whose eras start at
/// 0, since one answer without an era counted as one of era 1.
void a_missing_era_starts_no_new_one()
{
    follower_fixture fixture;
    fixture.run({make_answer(0, 3), store_response(news_batch{{}, 4, {}}),
                 make_answer(0, 5)});
    cr_assert_eq(fixture.follower->outdated_response_count(), 0U);
    cr_assert_eq(fixture.calls.back(), "watch 5");
}

void a_malformed_era_counts_as_the_known_one()
{
    follower_fixture fixture;
    fixture.run({make_answer(5, 7),
                 store_response(news_batch{{registration("c")}, 9, {}},
                                {std::nullopt, true})});
    cr_assert(fixture.calls == (strings{"list -", "watch 7", "watch 9"}));
    cr_assert_eq(fixture.follower->era(), 5U);
}

/// The items carry the era, so that a node can order what it hears of them from
/// several sources.
void items_get_the_era_of_their_answer()
{
    boost::asio::io_context context;
    std::vector<policy::store_item> listed;
    const auto follower = std::make_shared<platform::news_follower>(
        context, runtime::clock::boot(), platform::news_follower::options{},
        platform::store_calls{[](const std::optional<std::string>&,
                                 const platform::store_calls::handler& handle) {
                                  handle(make_answer(4, 7));
                              },
                              [](std::uint64_t, runtime::duration,
                                 const platform::store_calls::handler&) {
                              }},
        platform::news_follower::observer{
            [&](store_items items, policy::store_position position) {
                listed = items;
                cr_assert(position == policy::store_position(4, 7));
            },
            {},
            {},
            {},
            {}});
    follower->resume();
    cr_assert_eq(listed.size(), 1U);
    cr_assert(listed.front().position == policy::store_position(4, 1));
}

/// A peer has told of the new era and brought its items. A pending call would
/// bring what is older.
void a_following_node_continues_at_once_in_the_era_of_its_peer()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7)});
    fixture.follower->skip_to({1, 40});
    cr_assert_eq(fixture.calls.back(), "watch 7",
                 "it hears of its own era from the store");
    fixture.follower->skip_to({2, 5});
    cr_assert_eq(fixture.calls.back(), "watch 5");
    fixture.follower->skip_to({1, 60});
    fixture.answer_pending(make_answer(2, 6));
    cr_assert(fixture.events == (strings{"listed 1", "changed 1"}));
    cr_assert_eq(fixture.calls.back(), "watch 6");
}

/// Guards against a node that vouches for outdated items while it lists them
/// anew, and keeps its peers from asking the store themselves: the store says
/// that its history is lost, and fails after each first page.
void an_unfinished_list_confirms_nothing()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7)});
    const auto confirmed_at = fixture.follower->confirmed_at();
    cr_assert(confirmed_at.has_value());
    fixture.answer_pending(store_error::history_lost);
    for (int round = 0; round < 3; ++round) {
        fixture.answer_pending(make_answer(1, 9, "servers/a"));
        fixture.answer_pending(store_error::unavailable);
    }
    cr_assert(fixture.follower->confirmed_at() == confirmed_at);
    fixture.answer_pending(make_answer(1, 9, "servers/a"));
    fixture.answer_pending(make_answer(1, 10));
    cr_assert(fixture.follower->confirmed_at() > confirmed_at);
}

/// Guards against a node that vouches for old news after a pause: the answer to
/// its watch had arrived before, and is read when the process goes on.
void an_answer_read_after_a_pause_confirms_nothing_recent()
{
    boost::asio::io_context context;
    runtime::paused_clock time;
    platform::store_calls::handler pending;
    const auto follower = std::make_shared<platform::news_follower>(
        context, time.view(),
        platform::news_follower::options{.watch_timeout = 1s},
        platform::store_calls{[](const std::optional<std::string>&,
                                 const platform::store_calls::handler& handle) {
                                  handle(make_answer(1, 7));
                              },
                              [&](std::uint64_t, runtime::duration,
                                  platform::store_calls::handler handle) {
                                  pending = std::move(handle);
                              }},
        platform::news_follower::observer{
            [](store_items, policy::store_position) {},
            [](store_items, policy::store_position) {}, [](std::uint32_t) {},
            [](store_error) {},
            [](std::uint64_t, std::uint64_t) {
            }});
    follower->resume();
    time.advance(900ms);
    const auto in_time = std::exchange(pending, nullptr);
    in_time(news_batch{{}, 7, {}});
    cr_assert(follower->confirmed_at() == time.now());
    time.advance(20s);
    const auto late = std::exchange(pending, nullptr);
    late(news_batch{{}, 7, {}});
    cr_assert(*follower->confirmed_at() < time.now() - 15s);
}

void the_revision_never_decreases()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, news_batch{{}, 3, {}}});
    cr_assert_eq(fixture.calls.back(), "watch 7");
}

/// A node that receives changes from a peer pauses its own calls to the store.
/// When it resumes, it watches from the latest revision that the peer reported.
void a_resumed_follower_watches_from_the_skipped_to_revision()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}});
    fixture.follower->pause();
    fixture.follower->skip_to({1, 40});
    fixture.follower->skip_to({1, 30});
    fixture.context.restart();
    fixture.follower->resume();
    fixture.context.run_for(20ms);
    cr_assert(fixture.calls == (strings{"list -", "watch 7", "watch 40"}));
}

/// A node pauses because a peer has news. The answer to its own pending call
/// may be more recent than what the peer knows.
void the_result_of_a_call_pending_at_a_pause_is_used()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}});
    fixture.follower->pause();
    fixture.answer_pending({news_batch{{registration("a")}, 9, {}}});
    cr_assert(fixture.events == (strings{"listed 0", "changed 1"}));
    cr_assert(fixture.calls == (strings{"list -", "watch 7"}),
              "a paused follower makes no call");
    fixture.follower->resume();
    cr_assert_eq(fixture.calls.back(), "watch 9");
}

void a_failed_call_pending_at_a_pause_is_not_repeated()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}});
    fixture.follower->pause();
    fixture.answer_pending(store_error::history_lost);
    cr_assert(fixture.calls == (strings{"list -", "watch 7"}));
    fixture.follower->resume();
    cr_assert_eq(fixture.calls.back(), "list -");
}

/// Guards against an outage that a node takes for one that has just ended, long
/// after it: a peer was the first to read the store again, and this node had
/// stopped following while it waited to try once more.
void failures_before_a_pause_are_forgotten()
{
    follower_fixture fixture;
    fixture.run({make_answer(1, 7)});
    fixture.answer_pending(store_error::unavailable);
    fixture.follower->pause();
    fixture.answer_pending(store_error::unavailable);
    cr_assert(!fixture.follower->is_in_contact());
    fixture.follower->skip_to({1, 40});
    fixture.follower->resume();
    cr_assert(fixture.follower->is_in_contact());
    fixture.events.clear();
    fixture.answer_pending(make_answer(1, 41));
    cr_assert(fixture.events == (strings{"changed 1"}));
    fixture.answer_pending(store_error::unavailable);
    cr_assert(fixture.events == (strings{"changed 1", "no usable answer"}),
              "a new outage is reported");
}

/// Guards against a hand-over of reading that lasts for one watch longer, as
/// nothing has changed: the peers of the new reader would take over as well.
void the_first_watch_is_answered_at_once()
{
    follower_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}});
    fixture.follower->pause();
    fixture.follower->resume();
    fixture.answer_pending({news_batch{{}, 7, {}}});
    fixture.answer_pending(store_error::unavailable);
    fixture.answer_pending({news_batch{{}, 7, {}}});
    cr_assert(fixture.is_watch_held ==
                  (std::vector{true, false, true, false, true}),
              "after a list, a resume and a failure, and in between");
}

} // namespace

Test(news_follower, endless_pages)
{
    a_listing_without_end_is_given_up();
}
Test(news_follower, endless_items)
{
    a_listing_that_exceeds_the_memory_limit_is_given_up();
}
Test(news_follower, pending_at_pause)
{
    the_result_of_a_call_pending_at_a_pause_is_used();
}
Test(news_follower, first_watch)
{
    the_first_watch_is_answered_at_once();
}
Test(news_follower, failures_before_pause)
{
    failures_before_a_pause_are_forgotten();
}
Test(news_follower, failed_at_pause)
{
    a_failed_call_pending_at_a_pause_is_not_repeated();
}
Test(news_follower, lost_history_in_new_era)
{
    a_lost_history_in_a_new_era_causes_a_new_listing();
}
Test(news_follower, changes_of_new_era)
{
    changes_of_a_new_era_cause_a_new_listing();
}
Test(news_follower, refusal_of_new_era)
{
    a_refusal_of_a_new_era_causes_a_new_listing();
}
Test(news_follower, new_era_between_pages)
{
    a_new_era_between_pages_restarts_the_listing();
}
Test(news_follower, unfinished_list)
{
    an_unfinished_list_confirms_nothing();
}
Test(news_follower, several_eras)
{
    several_new_eras_cause_one_listing_each();
}
Test(news_follower, earlier_era)
{
    an_answer_of_an_earlier_era_is_dropped();
}
Test(news_follower, no_era)
{
    a_missing_or_malformed_era_has_no_effect();
}
Test(news_follower, answer_after_pause)
{
    an_answer_read_after_a_pause_confirms_nothing_recent();
}
Test(news_follower, missing_era)
{
    a_missing_era_starts_no_new_one();
}
Test(news_follower, malformed_era)
{
    a_malformed_era_counts_as_the_known_one();
}
Test(news_follower, era_of_items)
{
    items_get_the_era_of_their_answer();
}
Test(news_follower, era_of_peer)
{
    a_following_node_continues_at_once_in_the_era_of_its_peer();
}
Test(news_follower, paused)
{
    a_resumed_follower_watches_from_the_skipped_to_revision();
}
Test(news_follower, pages)
{
    the_watch_starts_at_the_revision_of_the_first_page();
}
Test(news_follower, lost_history)
{
    a_lost_history_causes_a_new_listing();
}
Test(news_follower, large_changes)
{
    changes_that_are_too_large_are_listed_instead();
}
Test(news_follower, large_page)
{
    a_page_that_is_too_large_is_retried_later();
}
Test(news_follower, failed_watch)
{
    a_failed_watch_is_retried_from_the_same_revision();
}
Test(news_follower, failed_page)
{
    a_failed_page_restarts_the_listing();
}
Test(news_follower, revision)
{
    the_revision_never_decreases();
}
