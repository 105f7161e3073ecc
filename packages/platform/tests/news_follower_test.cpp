#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <string>
#include <tamarackhoist/platform/news_follower.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using platform::news_batch;
using items_view = const std::vector<policy::store_item>&;
using platform::news_result;
using platform::store_error;

namespace
{

policy::store_item registration(const std::string& id)
{
    return {"servers/" + id, "value", 1, false};
}

/// A store that gives prepared answers, and what was learnt from them.
class store_fixture
{
public:
    store_fixture()
        : follower(std::make_shared<platform::news_follower>(
              context, runtime::clock::boot(),
              platform::news_follower::options{.wait = 20ms,
                                               .gather_pause = 1ms,
                                               .first_retry = 2ms,
                                               .longest_retry = 5ms},
              platform::store_calls{
                  [this](const std::optional<std::string>& after,
                         platform::store_calls::handler handle) {
                      calls.push_back("list " + after.value_or("-"));
                      answer(std::move(handle));
                  },
                  [this](std::uint64_t after, runtime::duration,
                         platform::store_calls::handler handle) {
                      calls.push_back("watch " + std::to_string(after));
                      answer(std::move(handle));
                  }},
              platform::news_follower::observer{
                  [this](items_view items, std::uint64_t) {
                      events.push_back("listed " +
                                       std::to_string(items.size()));
                  },
                  [this](items_view items, std::uint64_t) {
                      if (!items.empty()) {
                          events.push_back("changed " +
                                           std::to_string(items.size()));
                      }
                  },
                  [this] { events.push_back("regained"); },
                  [this](store_error error) {
                      events.push_back(platform::to_string(error));
                  }}))
    {
    }

    void run(std::initializer_list<news_result> answers)
    {
        prepared.assign(answers.begin(), answers.end());
        follower->resume();
        context.run_for(200ms);
    }

    boost::asio::io_context context;
    std::vector<std::string> calls;
    std::vector<std::string> events;
    std::shared_ptr<platform::news_follower> follower;

private:
    void answer(platform::store_calls::handler handle)
    {
        if (prepared.empty()) {
            return;
        }
        boost::asio::post(context,
                          [handle = std::move(handle),
                           result = prepared.front()] { handle(result); });
        prepared.pop_front();
    }

    std::deque<news_result> prepared;
};

using texts = std::vector<std::string>;

/// Pages are no snapshot: what changed while they were read is watched from
/// the first page's revision on.
void all_pages_are_read_and_then_watched_from_the_first()
{
    store_fixture fixture;
    fixture.run({news_batch{{registration("a")}, 7, "servers/a"},
                 news_batch{{registration("b")}, 9, {}},
                 news_batch{{registration("c")}, 10, {}}});
    cr_assert(fixture.calls ==
              (texts{"list -", "list servers/a", "watch 7", "watch 10"}));
    cr_assert(fixture.events == (texts{"listed 2", "changed 1"}));
}

void a_lost_history_is_read_anew()
{
    store_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, store_error::history_lost,
                 news_batch{{registration("a")}, 20, {}}});
    cr_assert(fixture.calls ==
              (texts{"list -", "watch 7", "list -", "watch 20"}));
    cr_assert(fixture.events ==
              (texts{"listed 0", "history lost", "listed 1"}));
}

void a_failed_watch_goes_on_where_it_was()
{
    store_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, store_error::refused,
                 store_error::unavailable,
                 news_batch{{registration("a")}, 8, {}}});
    cr_assert(fixture.calls ==
              (texts{"list -", "watch 7", "watch 7", "watch 7", "watch 8"}));
    cr_assert(fixture.events ==
                  (texts{"listed 0", "turned away", "regained", "changed 1"}),
              "the return is told before the news, so that lapsed "
              "registrations get their grace time");
}

void a_failed_page_starts_the_list_again()
{
    store_fixture fixture;
    fixture.run({news_batch{{registration("a")}, 7, "servers/a"},
                 store_error::unavailable,
                 news_batch{{registration("a"), registration("b")}, 8, {}}});
    cr_assert(fixture.calls ==
              (texts{"list -", "list servers/a", "list -", "watch 8"}));
    cr_assert(fixture.events ==
              (texts{"no usable answer", "regained", "listed 2"}));
}

void the_revision_never_goes_back()
{
    store_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}, news_batch{{}, 3, {}}});
    cr_assert_eq(fixture.calls.back(), "watch 7");
}

/// A node that hears the news from a peer stops to ask, and goes on from the
/// revision that it knows.
void a_paused_follower_goes_on_from_what_is_known()
{
    store_fixture fixture;
    fixture.run({news_batch{{}, 7, {}}});
    fixture.follower->pause();
    fixture.follower->skip_to(40);
    fixture.follower->skip_to(30);
    fixture.context.restart();
    fixture.follower->resume();
    fixture.context.run_for(20ms);
    cr_assert(fixture.calls == (texts{"list -", "watch 7", "watch 40"}));
}

} // namespace

Test(news_follower, paused)
{
    a_paused_follower_goes_on_from_what_is_known();
}
Test(news_follower, pages)
{
    all_pages_are_read_and_then_watched_from_the_first();
}
Test(news_follower, lost_history)
{
    a_lost_history_is_read_anew();
}
Test(news_follower, failed_watch)
{
    a_failed_watch_goes_on_where_it_was();
}
Test(news_follower, failed_page)
{
    a_failed_page_starts_the_list_again();
}
Test(news_follower, revision)
{
    the_revision_never_goes_back();
}
