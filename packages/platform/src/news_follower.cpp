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
/// Wait of a watch that is answered at once. A node that starts to follow, or
/// whose last call failed, does not know whether the store answers.
constexpr duration first_watch_timeout = std::chrono::milliseconds(1);
/// Time beyond the wait of a watch within which a call ends.
constexpr duration max_call_overhead = std::chrono::milliseconds(1500);
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
    // Peers have had news since the failures before the pause.
    consecutive_failures_ = 0;
    send_next_call();
}

void news_follower::pause()
{
    is_following_ = false;
    timer_.cancel();
}

void news_follower::skip_to(policy::store_position position)
{
    const bool is_new_era = !era_ || position.era() > *era_;
    const bool is_outdated = era_ && position.era() < *era_;
    if (is_outdated || (is_following_ && !is_new_era)) {
        return;
    }
    if (is_new_era) {
        begin_era(position.era());
    }
    position_ = std::max(position_.value_or(position), position);
    if (is_following_) {
        timer_.cancel();
        request_changes();
    }
}

void news_follower::send_next_call()
{
    if (position_) {
        request_changes(first_watch_timeout);
    } else {
        request_page(std::nullopt);
    }
}

store_calls::handler news_follower::make_handler(result_handler handle)
{
    ++call_count_;
    call_started_at_ = clock_.now();
    auto self = shared_from_this();
    return [self, handle,
            generation = ++call_generation_](store_response response) {
        if (generation == self->call_generation_) {
            self->handle_response(std::move(response), handle);
        }
    };
}

void news_follower::handle_response(store_response response,
                                    result_handler handle)
{
    const auto era = find_era(response);
    if (era && era_ && *era < *era_) {
        ++outdated_response_count_;
        handle_failure(store_error::outdated);
        return;
    }
    if (era && era_ != era) {
        const auto era_before = era_;
        begin_era(*era);
        if (era_before) {
            observer_.restored(*era_before, *era);
        }
    }
    if (response.result) {
        for (auto& item : response.result.value().items) {
            item.position = {*era_, item.position.revision()};
        }
    }
    (this->*handle)(std::move(response.result));
}

std::optional<std::uint64_t>
news_follower::find_era(const store_response& response)
{
    if (response.era.is_malformed) {
        ++malformed_era_count_;
        // Read as one of the era that is known, if there is one.
        return era_.value_or(policy::first_store_era);
    }
    if (!response.era.number && response.result) {
        // Never later than the known one: nothing says that it has ended.
        return std::min(era_.value_or(policy::first_store_era),
                        policy::first_store_era);
    }
    return response.era.number;
}

void news_follower::begin_era(std::uint64_t era)
{
    era_ = era;
    confirmed_at_.reset();
    position_.reset();
    list_position_.reset();
    listed_items_.clear();
}

void news_follower::request_page(const std::optional<std::string>& after)
{
    if (!after) {
        listed_items_.clear();
        listed_bytes_ = 0;
        list_position_.reset();
    }
    requested_page_ = after;
    calls_.list(after, make_handler(&news_follower::handle_page));
}

void news_follower::handle_page(news_result result)
{
    if (!result) {
        handle_failure(result.error());
        return;
    }
    if (requested_page_ && !list_position_) {
        // A later page, and the first one was of an earlier era.
        record_response();
        if (is_following_) {
            request_page(std::nullopt);
        }
        return;
    }
    auto& batch = result.value();
    add_to_list(batch);
    // Pages are ordered by key: one that leads backwards would repeat forever.
    const bool is_endless = batch.next_page && requested_page_ &&
                            *batch.next_page <= *requested_page_;
    if (is_endless || listed_bytes_ > max_listed_bytes) {
        listed_items_.clear();
        handle_failure(store_error::unavailable);
        return;
    }
    record_response();
    if (!batch.next_page) {
        finish_list();
        return;
    }
    if (is_following_) {
        request_page(batch.next_page);
    }
}

void news_follower::add_to_list(news_batch& batch)
{
    if (!list_position_) {
        list_position_ = {*era_, batch.store_revision};
        list_started_at_ = latest_answer_time();
    }
    for (auto& item : batch.items) {
        listed_bytes_ += item.key.size() + item.value.size();
        listed_items_.push_back(std::move(item));
    }
}

void news_follower::finish_list()
{
    position_ = list_position_;
    // Nothing is confirmed before the list is whole, and then only as of its
    // first page.
    confirmed_at_ = list_started_at_;
    const auto items = std::exchange(listed_items_, {});
    observer_.listed(items, *position_);
    if (is_following_) {
        request_changes();
    }
}

void news_follower::request_changes()
{
    request_changes(options_.watch_timeout);
}

void news_follower::request_changes(duration wait)
{
    calls_.watch(position_->revision(), wait,
                 make_handler(&news_follower::handle_changes));
}

void news_follower::handle_changes(news_result result)
{
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
    if (!position_) {
        // Of a new era: what it does not bring may have changed as well.
        if (is_following_) {
            request_page(std::nullopt);
        }
        return;
    }
    confirmed_at_ = latest_answer_time();
    const auto& batch = result.value();
    position_ = std::max(*position_, {*era_, batch.store_revision});
    observer_.changed(batch.items, *position_);
    if (!is_following_) {
        return;
    }
    if (batch.items.empty()) {
        request_changes();
        return;
    }
    run_after(options_.batching_delay, [this] { request_changes(); });
}

runtime::time_point news_follower::latest_answer_time() const
{
    return std::min(clock_.now(), call_started_at_ + options_.watch_timeout +
                                      max_call_overhead);
}

void news_follower::record_response()
{
    if (consecutive_failures_ > 0) {
        observer_.regained(std::exchange(consecutive_failures_, 0U));
    }
}

void news_follower::list_again(store_error error)
{
    record_response();
    position_.reset();
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
