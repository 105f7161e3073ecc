#include <tamarackhoist/platform/news_follower.hpp>

#include <algorithm>

namespace tamarackhoist::platform
{

using runtime::duration;

namespace
{

constexpr std::uint32_t max_backoff_doublings = 3;
/// Largest random deviation of a retry delay in either direction, as a
/// fraction of the delay.
constexpr double max_retry_jitter = 0.3;
/// Limit of the keys and values of one list.
constexpr std::size_t max_listed_bytes = std::size_t(32) * 1024 * 1024;

} // namespace

news_follower::news_follower(boost::asio::io_context& context,
                             runtime::clock clock, options options,
                             store_calls calls, observer observer)
    : timer_(context), clock_(std::move(clock)), options_(options),
      calls_(std::move(calls)), observer_(std::move(observer)),
      random_(static_cast<std::minstd_rand::result_type>(options.random_seed))
{
}

void news_follower::resume()
{
    if (is_following_) {
        return;
    }
    is_following_ = true;
    send_next_call();
}

void news_follower::pause()
{
    is_following_ = false;
    timer_.cancel();
}

void news_follower::skip_to(std::uint64_t revision)
{
    if (!is_following_) {
        revision_ = std::max(revision_.value_or(0), revision);
    }
}

void news_follower::send_next_call()
{
    if (revision_) {
        request_changes();
    } else {
        request_page(std::nullopt);
    }
}

store_calls::handler
news_follower::make_handler(void (news_follower::*handle)(store_response))
{
    ++call_count_;
    auto self = shared_from_this();
    return [self, handle,
            generation = ++call_generation_](store_response response) {
        if (generation == self->call_generation_) {
            self->record_era(response);
            (*self.*handle)(std::move(response));
        }
    };
}

void news_follower::request_page(const std::optional<std::string>& after)
{
    if (!after) {
        listed_items_.clear();
        listed_bytes_ = 0;
        list_revision_.reset();
    }
    requested_page_ = after;
    calls_.list(after, make_handler(&news_follower::handle_page));
}

void news_follower::handle_page(store_response response)
{
    auto& result = response.result;
    if (!result) {
        handle_failure(result.error());
        return;
    }
    auto& batch = result.value();
    if (!list_revision_) {
        list_revision_ = batch.store_revision;
    }
    for (auto& item : batch.items) {
        listed_bytes_ += item.key.size() + item.value.size();
        listed_items_.push_back(std::move(item));
    }
    // Pages are ordered by key: one that leads backwards would repeat forever.
    const bool is_endless = batch.next_page && requested_page_ &&
                            *batch.next_page <= *requested_page_;
    if (is_endless || listed_bytes_ > max_listed_bytes) {
        listed_items_.clear();
        handle_failure(store_error::unavailable);
        return;
    }
    record_response();
    if (batch.next_page) {
        if (is_following_) {
            request_page(batch.next_page);
        }
        return;
    }
    revision_ = list_revision_;
    const auto items = std::exchange(listed_items_, {});
    observer_.listed(items, *revision_);
    if (is_following_) {
        request_changes();
    }
}

void news_follower::request_changes()
{
    calls_.watch(*revision_, options_.watch_timeout,
                 make_handler(&news_follower::handle_changes));
}

void news_follower::handle_changes(store_response response)
{
    auto& result = response.result;
    if (!result && result.error() == store_error::answer_too_large) {
        // The answer to the same call would be as long. Pages are bounded.
        list_again(result.error());
        return;
    }
    if (!result) {
        handle_failure(result.error());
        return;
    }
    record_response();
    const auto& batch = result.value();
    revision_ = std::max(*revision_, batch.store_revision);
    observer_.changed(batch.items, *revision_);
    if (!is_following_) {
        return;
    }
    if (batch.items.empty()) {
        request_changes();
        return;
    }
    run_after(options_.batching_delay, [this] { request_changes(); });
}

void news_follower::record_era(const store_response& response)
{
    if (response.era.is_malformed) {
        ++malformed_era_count_;
        return;
    }
    const bool is_answered = response.result.has_value();
    if (!response.era.number && !is_answered) {
        return;
    }
    const auto stated = response.era.number.value_or(policy::first_store_era);
    const auto before = std::exchange(era_, stated);
    if (before && *before != stated) {
        observer_.era_changed(*before, stated, revision_.value_or(0));
    }
}

void news_follower::record_response()
{
    last_response_at_ = clock_.now();
    if (consecutive_failures_ > 0) {
        consecutive_failures_ = 0;
        observer_.regained();
    }
}

void news_follower::list_again(store_error error)
{
    record_response();
    revision_.reset();
    observer_.lost(error);
    if (is_following_) {
        request_page(std::nullopt);
    }
}

void news_follower::handle_failure(store_error error)
{
    if (error == store_error::history_lost) {
        list_again(error);
        return;
    }
    if (consecutive_failures_ == 0) {
        observer_.lost(error);
    }
    const auto doublings =
        std::min(consecutive_failures_, max_backoff_doublings);
    ++consecutive_failures_;
    if (!is_following_) {
        return;
    }
    const auto delay =
        std::min(options_.max_retry_delay,
                 options_.initial_retry_delay * (1U << doublings));
    std::uniform_real_distribution<double> jitter(1.0 - max_retry_jitter,
                                                  1.0 + max_retry_jitter);
    run_after(
        runtime::from_seconds(runtime::to_seconds(delay) * jitter(random_)),
        [this] { send_next_call(); });
}

void news_follower::run_after(duration delay, std::function<void()> action)
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
