#include <tamarackhoist/platform/news_follower.hpp>

#include <algorithm>

namespace tamarackhoist::platform
{

using runtime::duration;

namespace
{

constexpr std::uint32_t max_doublings = 3;
/// Retries are spread by this part of their delay, either way.
constexpr double retry_spread = 0.3;

} // namespace

const char* to_string(store_error error)
{
    switch (error) {
    case store_error::unavailable:
        return "no usable answer";
    case store_error::refused:
        return "turned away";
    case store_error::history_lost:
        return "history lost";
    }
    return "no usable answer";
}

news_follower::news_follower(boost::asio::io_context& context,
                             runtime::clock clock, options options,
                             store_calls calls, observer watch)
    : timer_(context), clock_(std::move(clock)), options_(options),
      calls_(std::move(calls)), watch_(std::move(watch)),
      random_(static_cast<std::minstd_rand::result_type>(options.random_seed))
{
}

void news_follower::resume()
{
    if (is_following_) {
        return;
    }
    is_following_ = true;
    go_on();
}

void news_follower::pause()
{
    is_following_ = false;
    ++generation_;
    timer_.cancel();
}

void news_follower::skip_to(std::uint64_t revision)
{
    if (!is_following_) {
        revision_ = std::max(revision_.value_or(0), revision);
    }
}

void news_follower::go_on()
{
    if (revision_) {
        watch();
    } else {
        list(std::nullopt);
    }
}

store_calls::handler
news_follower::expect(void (news_follower::*handle)(news_result))
{
    ++call_count_;
    auto self = shared_from_this();
    return [self, handle, generation = ++generation_](news_result result) {
        if (generation == self->generation_) {
            (*self.*handle)(std::move(result));
        }
    };
}

void news_follower::list(const std::optional<std::string>& after)
{
    if (!after) {
        pages_.clear();
        list_revision_.reset();
    }
    calls_.list(after, expect(&news_follower::listed));
}

void news_follower::listed(news_result result)
{
    if (!result) {
        failed(result.error());
        return;
    }
    heard();
    auto& batch = result.value();
    if (!list_revision_) {
        list_revision_ = batch.store_revision;
    }
    std::move(batch.items.begin(), batch.items.end(),
              std::back_inserter(pages_));
    if (batch.next_page) {
        list(batch.next_page);
        return;
    }
    revision_ = list_revision_;
    const auto items = std::exchange(pages_, {});
    watch_.listed(items, *revision_);
    watch();
}

void news_follower::watch()
{
    calls_.watch(*revision_, options_.wait, expect(&news_follower::watched));
}

void news_follower::watched(news_result result)
{
    if (!result) {
        failed(result.error());
        return;
    }
    heard();
    const auto& batch = result.value();
    revision_ = std::max(*revision_, batch.store_revision);
    watch_.changed(batch.items, *revision_);
    if (batch.items.empty()) {
        watch();
        return;
    }
    after(options_.gather_pause, [this] { watch(); });
}

void news_follower::heard()
{
    heard_at_ = clock_.now();
    if (failures_in_row_ > 0) {
        failures_in_row_ = 0;
        watch_.regained();
    }
}

void news_follower::failed(store_error error)
{
    if (error == store_error::history_lost) {
        heard();
        revision_.reset();
        watch_.lost(error);
        list(std::nullopt);
        return;
    }
    if (failures_in_row_ == 0) {
        watch_.lost(error);
    }
    const auto doublings = std::min(failures_in_row_, max_doublings);
    ++failures_in_row_;
    const auto delay = std::min(options_.longest_retry,
                                options_.first_retry * (1U << doublings));
    std::uniform_real_distribution<double> spread(1.0 - retry_spread,
                                                  1.0 + retry_spread);
    after(runtime::from_seconds(runtime::to_seconds(delay) * spread(random_)),
          [this] { go_on(); });
}

void news_follower::after(duration delay, std::function<void()> action)
{
    auto self = shared_from_this();
    timer_.expires_after(delay);
    timer_.async_wait(
        [self, action = std::move(action)](boost::system::error_code error) {
            if (!error && self->is_following_) {
                action();
            }
        });
}

} // namespace tamarackhoist::platform
