#ifndef TAMARACKHOIST_PLATFORM_NEWS_FOLLOWER_HPP
#define TAMARACKHOIST_PLATFORM_NEWS_FOLLOWER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <variant>
#include <vector>

namespace tamarackhoist::platform
{

/// A configuration version was published.
struct routes_published {
    std::shared_ptr<const policy::routing_table> routes;
};

/// An upstream's registration was written.
struct upstream_registered {
    policy::registered_upstream entry;
};

/// An upstream's registration was removed.
struct upstream_unregistered {
    std::string id;
    std::uint64_t revision = 0;
};

/// A value that cannot be used; what was known before stays in force.
struct unusable_value {
    std::string key;
    std::string reason;
};

using news_item = std::variant<routes_published, upstream_registered,
                               upstream_unregistered, unusable_value>;

/// Decodes an item of the store; nothing for keys that are not followed.
using item_decoder =
    std::function<std::optional<news_item>(const policy::store_item&)>;

/// Items of one answer of the store.
struct news_batch {
    std::vector<policy::store_item> items;
    /// Revision of the store up to which the answer is complete.
    std::uint64_t store_revision = 0;
    /// Key after which the next page begins, if there is one.
    std::optional<std::string> next_page;
};

/// Why the store gave no news.
enum class store_error {
    /// No answer, or one that cannot be read.
    unavailable,
    /// The store turned the call away.
    refused,
    /// The changes since the asked revision are not kept any more.
    history_lost
};

/// Returns the name of `error` in logs.
[[nodiscard]] const char* to_string(store_error error);

using news_result = runtime::result<news_batch, store_error>;

/// The store's calls. Each calls its handler once; a call that is made while
/// another is pending replaces it.
struct store_calls {
    using handler = std::function<void(news_result)>;
    /// Reads the items after a key; the first page has no key.
    std::function<void(const std::optional<std::string>& after, handler)> list;
    /// Waits for changes after a revision.
    std::function<void(std::uint64_t after, runtime::duration wait, handler)>
        watch;
};

/// Follows the store: reads everything once, then waits for changes. Reads
/// everything again whenever changes may have been missed. Each wait is
/// short, so that a store that fell silent is noticed.
class news_follower : public std::enable_shared_from_this<news_follower>
{
public:
    struct observer {
        /// All that the store holds.
        std::function<void(const std::vector<policy::store_item>&,
                           std::uint64_t revision)>
            listed;
        /// Every change up to a revision, in order; there may be none.
        std::function<void(const std::vector<policy::store_item>&,
                           std::uint64_t revision)>
            changed;
        /// The store answers again after a failure.
        std::function<void()> regained;
        std::function<void(store_error)> lost;
    };

    struct options {
        /// Longest wait of one call for changes.
        runtime::duration wait = std::chrono::milliseconds(2500);
        /// Pause after changes, in which further ones gather.
        runtime::duration gather_pause = std::chrono::milliseconds(100);
        runtime::duration first_retry = std::chrono::milliseconds(200);
        runtime::duration longest_retry = std::chrono::milliseconds(1000);
        std::uint64_t random_seed = 1;
    };

    news_follower(boost::asio::io_context& context, runtime::clock clock,
                  options options, store_calls calls, observer watch);

    /// Starts to follow, or goes on where `pause` left off.
    void resume();
    /// Makes no further calls; the result of a pending one is dropped.
    void pause();

    [[nodiscard]] bool is_following() const { return is_following_; }

    /// Takes over a revision up to which everything is known from elsewhere.
    void skip_to(std::uint64_t revision);

    /// When the store last answered.
    [[nodiscard]] std::optional<runtime::time_point> heard_at() const
    {
        return heard_at_;
    }
    /// Calls made so far.
    [[nodiscard]] std::uint64_t call_count() const { return call_count_; }

private:
    void go_on();
    [[nodiscard]] store_calls::handler
    expect(void (news_follower::*handle)(news_result));
    void list(const std::optional<std::string>& after);
    void listed(news_result result);
    void watch();
    void watched(news_result result);
    void heard();
    void failed(store_error error);
    void after(runtime::duration delay, std::function<void()> action);

    boost::asio::steady_timer timer_;
    const runtime::clock clock_;
    const options options_;
    const store_calls calls_;
    const observer watch_;
    std::minstd_rand random_;
    std::vector<policy::store_item> pages_;
    /// Revision of the first page: later pages may be newer, so changes are
    /// watched from there.
    std::optional<std::uint64_t> list_revision_;
    std::optional<std::uint64_t> revision_;
    std::optional<runtime::time_point> heard_at_;
    std::uint32_t failures_in_row_ = 0;
    std::uint64_t call_count_ = 0;
    bool is_following_ = false;
    /// Tells the result of an outdated call from that of the current one.
    std::uint64_t generation_ = 0;
};

} // namespace tamarackhoist::platform

#endif
