#ifndef TAMARACKHOIST_NODE_FAKE_STORE_HPP
#define TAMARACKHOIST_NODE_FAKE_STORE_HPP

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <numeric>
#include <string>
#include <tamarackhoist/platform/store_calls.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// An in-memory configuration service for gateways. Thread-safe.
class fake_store
{
public:
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(mutex_);
        write({key, value, {}, false});
    }

    void remove(const std::string& key)
    {
        const std::lock_guard guard(mutex_);
        write({key, {}, {}, true});
    }

    /// Keeps a copy of what the store holds now.
    void take_copy()
    {
        const std::lock_guard guard(mutex_);
        copy_ = content_;
    }

    /// Comes back from the copy: what was written since is gone, and revisions
    /// are given out again. Pending calls fail.
    void restore_copy()
    {
        const std::lock_guard guard(mutex_);
        content_ = copy_;
        ++era_;
    }

    void set_available(bool is_available) { is_available_ = is_available; }
    /// Drops the history: the next watch of each client is told to list again.
    void drop_history()
    {
        for (auto& each : has_lost_history_) {
            each = true;
        }
    }
    [[nodiscard]] int call_count() const
    {
        return std::accumulate(calls_.begin(), calls_.end(), 0);
    }

    /// Returns the number of calls of one client, by the order of creation.
    [[nodiscard]] int call_count(std::size_t client) const
    {
        return calls_[client];
    }
    /// Number of calls of all clients that listed the items.
    [[nodiscard]] int list_count() const { return list_count_; }
    /// Lists take this much longer to be answered.
    void set_list_delay(std::chrono::milliseconds delay)
    {
        list_delay_ms_ = static_cast<int>(delay.count());
    }
    /// Cuts a client off: its pending call and all later ones get no answer and
    /// fail some time after they should have got one.
    void cut_off(std::size_t client, bool is_cut_off = true)
    {
        is_cut_off_[client] = is_cut_off;
    }
    /// Sets whether the calls of a client are turned away.
    void turn_away(std::size_t client, bool is_turned_away = true)
    {
        is_turned_away_[client] = is_turned_away;
    }

    /// Returns the client of one gateway, whose calls run on `context`. A watch
    /// polls for changes.
    [[nodiscard]] platform::store_calls
    make_calls(boost::asio::io_context& context)
    {
        const auto client = client_count_++;
        return {
            [this, &context, client](const std::optional<std::string>&,
                                     platform::store_calls::handler handle) {
                ++calls_.at(client);
                ++list_count_;
                const call list{client, 0, std::chrono::milliseconds(1), era_,
                                true};
                const auto delay = std::make_shared<boost::asio::steady_timer>(
                    context, std::chrono::milliseconds(list_delay_ms_.load()));
                delay->async_wait(
                    [this, &context, delay, list, handle = std::move(handle)](
                        boost::system::error_code) mutable {
                        answer_when_changed(context, list, std::move(handle));
                    });
            },
            [this, &context, client](std::uint64_t after,
                                     runtime::duration wait,
                                     platform::store_calls::handler handle) {
                ++calls_.at(client);
                answer_when_changed(context, {client, after, wait, era_, false},
                                    std::move(handle));
            }};
    }

private:
    static constexpr std::size_t max_clients = 8;
    /// Time beyond its wait after which a call without an answer fails.
    static constexpr auto response_timeout = std::chrono::milliseconds(700);

    struct content {
        std::vector<policy::store_item> items;
        std::uint64_t revision = 0;
    };

    struct call {
        std::size_t client = 0;
        std::uint64_t after = 0;
        runtime::duration wait{};
        /// Era of the store when the call was made.
        std::uint64_t era = 0;
        bool is_list = false;
        /// Set when the client was cut off meanwhile: no answer comes.
        bool is_lost = false;
    };

    void write(policy::store_item item)
    {
        item.position = {0, ++content_.revision};
        std::erase_if(content_.items, [&](const policy::store_item& each) {
            return each.key == item.key;
        });
        content_.items.push_back(std::move(item));
    }

    void answer_when_changed(boost::asio::io_context& context, call call,
                             platform::store_calls::handler handle)
    {
        static constexpr auto poll_interval = std::chrono::milliseconds(10);
        auto timer =
            std::make_shared<boost::asio::steady_timer>(context, poll_interval);
        timer->async_wait(
            [this, &context, timer, call, handle = std::move(handle)](
                boost::system::error_code error) mutable {
                if (error) {
                    return;
                }
                if (call.is_lost || is_cut_off_.at(call.client)) {
                    call.is_lost = true;
                    call.wait -= poll_interval;
                    if (call.wait > -response_timeout) {
                        answer_when_changed(context, call, std::move(handle));
                    } else {
                        handle(platform::store_error::unavailable);
                    }
                    return;
                }
                auto response = answer(call);
                const bool is_unchanged =
                    response.result && response.result.value().items.empty();
                if (is_unchanged && call.wait > poll_interval) {
                    call.wait -= poll_interval;
                    answer_when_changed(context, call, std::move(handle));
                    return;
                }
                handle(std::move(response));
            });
    }

    platform::store_response answer(const call& call)
    {
        using platform::store_error;
        const std::lock_guard guard(mutex_);
        if (!is_available_ || call.era != era_) {
            return store_error::unavailable;
        }
        if (is_turned_away_.at(call.client)) {
            return {store_error::refused, {era_}};
        }
        const bool has_lost_history =
            !call.is_list && has_lost_history_.at(call.client).exchange(false);
        if (has_lost_history || call.after > content_.revision) {
            return {store_error::history_lost, {era_}};
        }
        platform::news_batch batch;
        batch.store_revision = content_.revision;
        for (const auto& item : content_.items) {
            const bool is_unlisted = call.is_list && item.is_removed;
            if (item.position.revision() > call.after && !is_unlisted) {
                batch.items.push_back(item);
            }
        }
        return {std::move(batch), {era_}};
    }

    std::mutex mutex_;
    content content_;
    content copy_;
    std::atomic<std::uint64_t> era_{1};
    std::atomic<bool> is_available_{true};
    std::atomic<int> list_count_{0};
    std::atomic<int> list_delay_ms_{0};
    std::atomic<std::size_t> client_count_{0};
    std::array<std::atomic<int>, max_clients> calls_{};
    std::array<std::atomic<bool>, max_clients> is_cut_off_{};
    std::array<std::atomic<bool>, max_clients> is_turned_away_{};
    std::array<std::atomic<bool>, max_clients> has_lost_history_{};
};

} // namespace tamarackhoist::node

#endif
