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

void news_follower::start()
{
    list(std::nullopt);
}

void news_follower::stop()
{
    is_stopped_ = true;
    timer_.cancel();
}

void news_follower::list(const std::optional<std::string>& after)
{
    if (!after) {
        pages_.clear();
        list_revision_.reset();
    }
    ++call_count_;
    auto self = shared_from_this();
    calls_.list(after, [self](news_result result) {
        self->listed(std::move(result));
    });
}

void news_follower::listed(news_result result)
{
    if (is_stopped_) {
        return;
    }
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
    ++call_count_;
    auto self = shared_from_this();
    calls_.watch(*revision_, options_.wait, [self](news_result result) {
        self->watched(std::move(result));
    });
}

void news_follower::watched(news_result result)
{
    if (is_stopped_) {
        return;
    }
    if (!result) {
        failed(result.error());
        return;
    }
    heard();
    const auto& batch = result.value();
    revision_ = std::max(*revision_, batch.store_revision);
    if (batch.items.empty()) {
        watch();
        return;
    }
    watch_.changed(batch.items);
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
          [this] {
              if (revision_) {
                  watch();
              } else {
                  list(std::nullopt);
              }
          });
}

void news_follower::after(duration delay, std::function<void()> action)
{
    auto self = shared_from_this();
    timer_.expires_after(delay);
    timer_.async_wait(
        [self, action = std::move(action)](boost::system::error_code error) {
            if (!error && !self->is_stopped_) {
                action();
            }
        });
}

} // namespace tamarackhoist::platform
