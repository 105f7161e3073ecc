#ifndef TAMARACKHOIST_NODE_TESTS_MODEL_NODE_HPP
#define TAMARACKHOIST_NODE_TESTS_MODEL_NODE_HPP

#include "model_store.hpp"
#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <tamarackhoist/peers/store_update_codec.hpp>
#include <tamarackhoist/platform/news_follower.hpp>
#include <tamarackhoist/policy/lapse_detector.hpp>
#include <tamarackhoist/policy/peer_inquiry.hpp>
#include <tamarackhoist/policy/store_copy.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/paused_clock.hpp>

namespace tamarackhoist::node
{

using namespace std::chrono_literals;

/// A call of a node to the store that has not ended.
struct pending_call {
    bool is_list = false;
    std::optional<std::string> after_key;
    std::uint64_t after_revision = 0;
    platform::store_calls::handler handle;
    /// The store's answer, if it is on its way.
    std::optional<platform::store_response> response;
};

/// One incarnation of an upstream.
using incarnation = std::pair<std::string, std::uint64_t>;

/// What a node has learned of an incarnation that takes no more requests.
struct withdrawal {
    /// The write that said so, or the last one before its removal.
    std::uint32_t write = 0;
    runtime::time_point at{};
};

using withdrawals = std::map<incarnation, withdrawal>;

/// Joins the real follower, copy and directory as a gateway does. `store_sync`
/// needs a network and a timer of the real time, and `gateway` all of a node,
/// so their decisions stand here a second time, line by line: which updates of
/// peers are dropped, replace or are merged, when a node pulls, and that the
/// version in force never falls. The fuzz thus does not test these lines of
/// `store_sync.cpp` and `gateway_state.cpp` themselves; `restored_store_test`
/// does, on loopback. It decides by commands who reads the store. Its pushes do
/// not carry what a restored store may have lost; only answers to pulls do.
class model_node
{
public:
    struct hooks {
        /// Sends an update to the nodes of the failure domain.
        std::function<void(const peers::store_update&)> push;
        /// Asks a node for all items; any node if the name is empty.
        std::function<void(const std::string&)> pull;
    };

    model_node(std::string name, boost::asio::io_context& context,
               runtime::clock clock, hooks hooks)
        : name_(std::move(name)), clock_(std::move(clock)),
          hooks_(std::move(hooks)),
          directory_({.added = [](const policy::upstream_handle&) {},
                      .draining = [](const policy::tracked_upstream&) {},
                      .gone =
                          [this](const policy::tracked_upstream& upstream) {
                              if (!is_taking_peer_state_) {
                                  record_withdrawal(upstream.registration);
                              }
                          }})
    {
        follower_ = std::make_shared<platform::news_follower>(
            context, clock_,
            platform::news_follower::options{.batching_delay = 0ms,
                                             .initial_retry_delay = 0ms,
                                             .max_retry_delay = 0ms},
            make_calls(), make_observer());
    }

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const policy::store_copy& copy() const { return copy_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] std::optional<pending_call>& call() { return call_; }
    [[nodiscard]] const withdrawals& known() const { return known_; }
    /// Number of complete lists by era.
    [[nodiscard]] const std::map<std::uint64_t, int>& list_counts() const
    {
        return list_counts_;
    }
    [[nodiscard]] std::span<const policy::upstream_handle> ready() const
    {
        return directory_.find_ready("service");
    }
    [[nodiscard]] bool is_following() const
    {
        return follower_->is_following();
    }

    void follow(bool should_follow)
    {
        if (should_follow) {
            follower_->resume();
        } else {
            follower_->pause();
        }
    }

    /// Does what is due at the current time.
    void tick()
    {
        directory_.expire(clock_.now(), confirmed_at());
        pull_if_needed();
        const bool is_recent = copy_.is_complete() &&
                               follower_->is_in_contact() &&
                               follower_->era() == copy_.position().era() &&
                               confirmation_age() <= max_age;
        if (is_recent && clock_.now() - last_push_at_ >= push_interval) {
            push({}, copy_.position().revision());
        }
    }

    /// Has the upstream at `index` of those that are ready say that it leaves.
    void record_leaving(std::size_t index)
    {
        if (!ready().empty()) {
            const auto upstream = ready()[index % ready().size()];
            directory_.record_leaving(*upstream);
            leaving_.insert(
                {upstream->registration.id, upstream->registration.started_at});
        }
    }

    [[nodiscard]] bool has_left(const policy::registered_upstream& entry) const
    {
        return leaving_.contains({entry.id, entry.started_at});
    }

    [[nodiscard]] peers::store_update make_snapshot() const
    {
        auto news = make_update();
        news.items = copy_.items();
        const bool is_held_back =
            version_ > 0 &&
            version_source_.position.era() < copy_.position().era();
        if (is_held_back) {
            news.held_back = {version_source_};
        }
        news.withdrawn = directory_.withdrawn();
        return news;
    }

    void apply_push(const peers::store_update& news)
    {
        const auto era_before = copy_.position().era();
        if (copy_.is_complete() && news.position.era() < era_before) {
            return;
        }
        if (has_missed_changes(news)) {
            hooks_.pull(news.sender);
            return;
        }
        if (copy_.is_complete() && news.position.era() > era_before &&
            news.position.era() > follower_->era()) {
            peer_confirmed_at_.reset();
        }
        const bool is_in_grace = news.grace > runtime::duration::zero();
        record_lapses(clock_.now() - news.age,
                      is_in_grace ? news.grace : full_grace());
        if (news.has_all_items() && news.position >= copy_.position()) {
            replace_items(news.items, news.position);
        } else {
            merge_items(news.items, news.position);
        }
        follower_->skip_to(copy_.position());
        record_confirmation(news);
    }

    /// `known` is what the sender knew.
    void apply_pulled(const peers::store_update& news, const withdrawals& known)
    {
        const bool is_outdated =
            copy_.is_complete() && news.position.era() < copy_.position().era();
        if (is_outdated) {
            apply_versions(news.items);
            return;
        }
        inquiry_.record_answer();
        record_withdrawn(news, known);
        apply_push(news);
        apply_versions(news.held_back);
    }

    /// Returns whether this node must not offer an upstream, as it knows that
    /// this write was followed by a drain or a departure. Forgets what is no
    /// longer binding.
    bool is_forbidden(const policy::registered_upstream& entry)
    {
        const auto found = known_.find({entry.id, entry.started_at});
        if (found == known_.end()) {
            return false;
        }
        const auto now = clock_.now();
        const bool is_written_again = entry.slots > found->second.write;
        const bool is_confirmed =
            copy_.position().era() > policy::first_store_era &&
            now >=
                era_began_at_ + policy::upstream_directory::confirmation_time;
        const bool is_forgotten =
            now - found->second.at > policy::departed_upstreams::retention;
        if (is_written_again || is_confirmed || is_forgotten) {
            known_.erase(found);
            return false;
        }
        return true;
    }

private:
    static constexpr runtime::duration push_interval = 300ms;
    static constexpr runtime::duration max_age = 1800ms;

    platform::store_calls make_calls()
    {
        return {.list =
                    [this](const std::optional<std::string>& after,
                           platform::store_calls::handler handle) {
                        call_ = {true, after, 0, std::move(handle), {}};
                    },
                .watch =
                    [this](std::uint64_t after, runtime::duration,
                           platform::store_calls::handler handle) {
                        call_ = {false, {}, after, std::move(handle), {}};
                    }};
    }

    platform::news_follower::observer make_observer()
    {
        using items = const std::vector<policy::store_item>&;
        return {.listed =
                    [this](items list, policy::store_position position) {
                        ++list_counts_[position.era()];
                        const bool is_new_era =
                            !copy_.is_complete() ||
                            position.era() > copy_.position().era();
                        record_lapses(*follower_->confirmed_at(), full_grace());
                        replace_items(list, position);
                        push(copy_.items(), 0);
                        if (is_new_era &&
                            position.era() != policy::first_store_era) {
                            inquiry_.start(clock_.now());
                        }
                    },
                .changed =
                    [this](items changes, policy::store_position position) {
                        const auto previous = copy_.position().revision();
                        record_lapses(*follower_->confirmed_at(), full_grace());
                        merge_items(changes, position);
                        push(changes, previous);
                    },
                .regained =
                    [this](std::uint32_t) {
                        if (lapses_.may_have_lapsed(clock_.now(), true)) {
                            directory_.extend_grace(clock_.now() +
                                                    full_grace());
                        }
                    },
                .lost = [](platform::store_error) {},
                .restored =
                    [this](std::uint64_t, std::uint64_t) {
                        peer_confirmed_at_.reset();
                    }};
    }

    [[nodiscard]] runtime::duration full_grace() const
    {
        return copy_.is_complete()
                   ? policy::upstream_directory::lapsed_registration_grace
                   : runtime::duration::zero();
    }

    void record_lapses(runtime::time_point confirmed_at,
                       runtime::duration grace)
    {
        const bool has_call_failed =
            follower_->is_following() && !follower_->is_in_contact();
        if (lapses_.may_have_lapsed(confirmed_at, has_call_failed)) {
            directory_.extend_grace(clock_.now() + grace);
        }
        lapses_.record_confirmation(confirmed_at);
    }

    [[nodiscard]] std::optional<runtime::time_point> confirmed_at() const
    {
        auto confirmed = follower_->confirmed_at();
        if (peer_confirmed_at_) {
            confirmed = std::max(confirmed.value_or(*peer_confirmed_at_),
                                 *peer_confirmed_at_);
        }
        return confirmed;
    }

    [[nodiscard]] runtime::duration confirmation_age() const
    {
        const auto confirmed = confirmed_at();
        return confirmed ? clock_.now() - *confirmed
                         : clock_.now().time_since_epoch();
    }

    void record_confirmation(const peers::store_update& news)
    {
        if (news.age > max_age || news.position.era() < follower_->era()) {
            return;
        }
        const auto at = clock_.now() - news.age;
        peer_confirmed_at_ = std::max(peer_confirmed_at_.value_or(at), at);
    }

    [[nodiscard]] bool has_missed_changes(const peers::store_update& news) const
    {
        if (news.has_all_items()) {
            return false;
        }
        const policy::store_position after{news.position.era(),
                                           news.after_revision};
        return !copy_.is_complete() || after > copy_.position();
    }

    void pull_if_needed()
    {
        if (!copy_.is_complete() || inquiry_.try_ask(clock_.now())) {
            hooks_.pull("");
        }
    }

    [[nodiscard]] peers::store_update make_update() const
    {
        peers::store_update news;
        news.sender = name_;
        news.position = copy_.position();
        news.age = confirmation_age();
        news.grace = directory_.grace_left(clock_.now());
        return news;
    }

    void push(const std::vector<policy::store_item>& items,
              std::uint64_t after_revision)
    {
        last_push_at_ = clock_.now();
        auto news = make_update();
        news.after_revision = after_revision;
        news.items = items;
        hooks_.push(news);
    }

    void merge_items(const std::vector<policy::store_item>& items,
                     policy::store_position position)
    {
        apply_changes(copy_.merge(items, position));
    }

    void replace_items(const std::vector<policy::store_item>& items,
                       policy::store_position position)
    {
        const auto era_before = copy_.position().era();
        if (!copy_.replace(items, position)) {
            return;
        }
        if (era_before != position.era()) {
            era_began_at_ = clock_.now();
        }
        std::vector<policy::registered_upstream> entries;
        for (const auto& item : copy_.items()) {
            if (item.key == configuration_key) {
                apply_version(item);
                continue;
            }
            entries.push_back(decode_registration(item));
            record_draining(entries.back());
        }
        directory_.replace_all(entries, position, clock_.now());
    }

    void apply_changes(const std::vector<policy::store_item>& items)
    {
        const auto now = clock_.now();
        for (const auto& item : items) {
            if (item.key == configuration_key) {
                apply_version(item);
                continue;
            }
            if (item.is_removed) {
                const auto id =
                    item.key.substr(std::string(upstream_key_prefix).size());
                directory_.remove(id, item.position, now);
                continue;
            }
            const auto entry = decode_registration(item);
            record_draining(entry);
            directory_.put(entry, now);
        }
    }

    void apply_versions(const std::vector<policy::store_item>& items)
    {
        for (const auto& item : items) {
            if (item.key == configuration_key) {
                apply_version(item);
            }
        }
    }

    void apply_version(const policy::store_item& source)
    {
        const auto version = std::stoull(source.value);
        if (version < version_) {
            return;
        }
        const bool is_later =
            source.position > version_source_.position || version > version_;
        if (is_later) {
            version_source_ = source;
        }
        version_ = version;
    }

    void record_draining(const policy::registered_upstream& entry)
    {
        if (entry.is_draining) {
            record_withdrawal(entry);
        }
    }

    void record_withdrawal(const policy::registered_upstream& entry)
    {
        auto& known = known_[{entry.id, entry.started_at}];
        known.write = std::max(known.write, entry.slots);
        known.at = clock_.now();
    }

    void record_withdrawn(const peers::store_update& news,
                          const withdrawals& known)
    {
        // A peer that lags may tell of a drain that has ended, so the write
        // that the peer knew counts.
        is_taking_peer_state_ = true;
        directory_.record_withdrawn(news.withdrawn, news.position,
                                    clock_.now());
        is_taking_peer_state_ = false;
        for (const auto& each : news.withdrawn) {
            const incarnation key{each.id, each.started_at};
            if (each.is_leaving) {
                leaving_.insert(key);
            }
            const auto found = known.find(key);
            if (found != known.end()) {
                auto& own = known_[key];
                own.write = std::max(own.write, found->second.write);
                own.at = clock_.now();
            }
        }
    }

    const std::string name_;
    const runtime::clock clock_;
    const hooks hooks_;
    std::optional<pending_call> call_;
    withdrawals known_;
    policy::upstream_directory directory_;
    policy::store_copy copy_;
    policy::lapse_detector lapses_;
    std::shared_ptr<platform::news_follower> follower_;
    std::set<incarnation> leaving_;
    std::map<std::uint64_t, int> list_counts_;
    std::uint64_t version_ = 0;
    policy::store_item version_source_;
    std::optional<runtime::time_point> peer_confirmed_at_;
    runtime::time_point last_push_at_{};
    runtime::time_point era_began_at_{};
    policy::peer_inquiry inquiry_;
    bool is_taking_peer_state_ = false;
};

} // namespace tamarackhoist::node

#endif
