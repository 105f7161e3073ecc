#include <tamarackhoist/node/store_sync.hpp>

#include <algorithm>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using policy::store_item;
using runtime::duration;
using runtime::event_number;
using namespace std::chrono_literals;

namespace
{

constexpr duration tick_interval = 50ms;
/// Time without a push after which the node that follows the service confirms
/// to its peers that nothing has changed.
constexpr duration push_interval = 300ms;
} // namespace

store_sync::store_sync(boost::asio::io_context& context, runtime::clock clock,
                       platform::store_calls calls,
                       policy::news_role::options limits,
                       std::uint64_t random_seed, hooks hooks)
    : clock_(std::move(clock)), limits_(limits), hooks_(std::move(hooks)),
      peers_(clock_,
             [this](const peers::store_update& update) {
                 apply_pulled_update(update);
             }),
      role_(limits, clock_.now()), timer_(context)
{
    platform::news_follower::options options;
    options.watch_timeout = limits.watch_timeout;
    options.random_seed = random_seed;
    follower_ = std::make_shared<platform::news_follower>(
        context, clock_, options, std::move(calls), make_follower_observer());
}

platform::news_follower::observer store_sync::make_follower_observer()
{
    return {
        .listed =
            [this](const std::vector<store_item>& items,
                   policy::store_position position) {
                const bool is_new_era = !copy_.is_complete() ||
                                        position.era() > copy_.position().era();
                record_confirmation(*follower_->confirmed_at(), full_grace(),
                                    "store");
                replace_items(items, position);
                push_to_peers(copy_.items(), 0);
                if (is_new_era && position.era() != policy::first_store_era) {
                    inquiry_.start(clock_.now());
                }
            },
        .changed =
            [this](const std::vector<store_item>& items,
                   policy::store_position position) {
                const auto previous_revision = copy_.position().revision();
                record_confirmation(*follower_->confirmed_at(), full_grace(),
                                    "store");
                merge_items(items, position);
                // Also without changes: the peers learn at once that the
                // service has confirmed what they know.
                push_to_peers(items, previous_revision);
            },
        .regained =
            [this](std::uint32_t failures) {
                runtime::log_line(event_number::platform_regained)
                    .add("revision", copy_.position().revision())
                    .add("failures", failures)
                    .add("news_age_ms", confirmation_age());
                const auto now = clock_.now();
                if (lapses_.may_have_lapsed(now, true)) {
                    extend_grace(now, full_grace(), "store");
                }
            },
        .lost =
            [this](platform::store_error error) {
                runtime::log_line(event_number::platform_read_failed)
                    .add("reason", platform::to_string(error))
                    .add("revision", copy_.position().revision())
                    .add("news_age_ms", confirmation_age());
            },
        .restored =
            [this](std::uint64_t era_before, std::uint64_t era) {
                record_restore(era_before, era, "store");
            }};
}

void store_sync::record_restore(std::uint64_t era_before, std::uint64_t era,
                                std::string_view told_by)
{
    ++restore_count_;
    // Nothing of the new era has been confirmed yet.
    peer_confirmed_at_.reset();
    runtime::log_line(event_number::store_restored)
        .add("era_before", era_before)
        .add("era", era)
        .add("revision", copy_.position().revision())
        .add("told_by", told_by);
}

duration store_sync::full_grace() const
{
    return copy_.is_complete()
               ? policy::upstream_directory::lapsed_registration_grace
               : duration::zero();
}

void store_sync::extend_grace(runtime::time_point confirmed_at, duration grace,
                              std::string_view told_by)
{
    if (grace <= hooks_.grace_left()) {
        return;
    }
    runtime::log_line line(event_number::grace_period_started);
    line.add("grace_ms", grace).add("told_by", told_by);
    if (const auto before = lapses_.last_confirmed_at()) {
        line.add("absence_ms", confirmed_at - *before);
    }
    hooks_.extend_grace(grace);
}

void store_sync::record_confirmation(runtime::time_point confirmed_at,
                                     duration grace, std::string_view told_by)
{
    const bool has_call_failed =
        follower_->is_following() && !follower_->is_in_contact();
    if (lapses_.may_have_lapsed(confirmed_at, has_call_failed)) {
        extend_grace(confirmed_at, grace, told_by);
    }
    lapses_.record_confirmation(confirmed_at);
}

void store_sync::start(peer_group& group)
{
    peers_.start(group);
    pull_if_needed();
    tick();
}

void store_sync::stop()
{
    timer_.cancel();
    follower_->pause();
}

duration store_sync::confirmation_age() const
{
    const auto confirmed = confirmed_at();
    return confirmed ? clock_.now() - *confirmed
                     : clock_.now().time_since_epoch();
}

std::optional<runtime::time_point> store_sync::confirmed_at() const
{
    const auto direct = follower_->confirmed_at();
    if (!direct || !peer_confirmed_at_) {
        return direct ? direct : peer_confirmed_at_;
    }
    return std::max(*direct, *peer_confirmed_at_);
}

void store_sync::update_members()
{
    peers_.update_members();
    pull_if_needed();
}

void store_sync::tick()
{
    update_role();
    pull_if_needed();
    const auto now = clock_.now();
    const bool is_recent = copy_.is_complete() && follower_->is_in_contact() &&
                           follower_->era() == copy_.position().era() &&
                           confirmation_age() <= limits_.max_age;
    // While items are listed, the peers hear that they need not do the same.
    const bool is_listing = copy_.is_complete() && follower_->is_listing();
    const bool has_news = is_recent || is_listing;
    if (has_news && now - peers_.last_push_at() >= push_interval) {
        push_to_peers({}, copy_.position().revision());
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void store_sync::update_role()
{
    const bool should_follow = role_.should_follow_service(
        peers_.rank(), copy_.is_complete(), clock_.now());
    if (should_follow == follower_->is_following()) {
        return;
    }
    runtime::log_line(event_number::news_role_changed)
        .add("follows_service", should_follow ? "yes" : "no")
        .add("rank", peers_.rank())
        .add("news_age_ms", confirmation_age());
    if (should_follow) {
        follower_->resume();
    } else {
        follower_->pause();
    }
}

void store_sync::merge_items(const std::vector<store_item>& items,
                             policy::store_position position)
{
    const auto newer = copy_.merge(items, position);
    if (!newer.empty()) {
        hooks_.on_changes(newer);
    }
}

void store_sync::replace_items(const std::vector<store_item>& items,
                               policy::store_position position)
{
    const bool is_new_era =
        copy_.is_complete() && position.era() > copy_.position().era();
    const auto count_before = is_new_era ? copy_.items().size() : 0;
    if (!copy_.replace(items, position)) {
        return;
    }
    if (is_new_era) {
        runtime::log_line(event_number::restored_store_listed)
            .add("era", position.era())
            .add("revision", position.revision())
            .add("items_before", count_before)
            .add("items", items.size());
    }
    hooks_.on_snapshot(copy_.items(), position);
}

peers::store_update store_sync::make_update() const
{
    peers::store_update news;
    news.sender = peers_.own_name();
    news.position = copy_.position();
    news.age = confirmation_age();
    news.grace = hooks_.grace_left();
    return news;
}

peers::store_update store_sync::make_snapshot() const
{
    auto news = make_update();
    news.items = copy_.items();
    add_memory(news);
    return news;
}

void store_sync::add_memory(peers::store_update& news) const
{
    news.held_back = hooks_.held_back();
    news.withdrawn = hooks_.withdrawn();
}

void store_sync::push_memory()
{
    auto news = make_update();
    news.after_revision = copy_.position().revision();
    add_memory(news);
    peers_.push(news);
}

void store_sync::push_to_peers(const std::vector<store_item>& items,
                               std::uint64_t after_revision)
{
    auto news = make_update();
    news.after_revision = after_revision;
    news.items = items;
    const bool is_restored = copy_.position().era() != policy::first_store_era;
    if (news.has_all_items() && is_restored) {
        add_memory(news);
    }
    peers_.push(news);
}

void store_sync::pull_if_needed()
{
    if (!copy_.is_complete()) {
        peers_.pull_from_any();
        return;
    }
    if (inquiry_.try_ask(clock_.now())) {
        peers_.pull_from_other_domain();
    }
}

void store_sync::apply_pulled_update(const peers::store_update& news)
{
    const bool is_outdated =
        copy_.is_complete() && news.position.era() < copy_.position().era();
    if (is_outdated) {
        // The peer has not heard of the restore, and may know more than the
        // service has now.
        hooks_.on_held_back(news.items);
    } else {
        inquiry_.record_answer();
    }
    apply_peer_update(news);
    const bool has_memory = !news.held_back.empty() || !news.withdrawn.empty();
    if (follower_->is_following() && has_memory && !is_outdated &&
        copy_.position().era() != policy::first_store_era) {
        // The peers of this failure domain have not asked anyone.
        push_memory();
    }
}

void store_sync::handle_call(const std::shared_ptr<peers::incoming_call>& call)
{
    if (call->path() == peers::call_path::store_pull) {
        if (copy_.is_complete()) {
            call->reply(peers::encode_store_update(make_snapshot()));
        }
        call->finish();
        return;
    }
    call->finish();
    const auto news = peers::decode_store_update(call->body());
    if (!news) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed configuration push");
        return;
    }
    apply_peer_update(*news);
}

bool store_sync::has_missed_changes(const peers::store_update& news) const
{
    if (news.has_all_items()) {
        return false;
    }
    const policy::store_position after{news.position.era(),
                                       news.after_revision};
    return !copy_.is_complete() || after > copy_.position();
}

void store_sync::apply_peer_update(const peers::store_update& news)
{
    const auto era_before = copy_.position().era();
    if (copy_.is_complete() && news.position.era() < era_before) {
        ++outdated_update_count_;
        return;
    }
    if (has_missed_changes(news)) {
        peers_.pull_from(news.sender);
        return;
    }
    if (copy_.is_complete() && news.position.era() > era_before &&
        news.position.era() > follower_->era()) {
        record_restore(era_before, news.position.era(), news.sender);
    }
    const bool is_in_grace = news.grace > duration::zero();
    record_confirmation(clock_.now() - news.age,
                        is_in_grace ? news.grace : full_grace(), news.sender);
    // Before the list, which may name upstreams that are gone.
    if (!news.withdrawn.empty()) {
        hooks_.on_withdrawn(news.withdrawn, news.position);
    }
    if (news.has_all_items() && news.position >= copy_.position()) {
        replace_items(news.items, news.position);
    } else {
        merge_items(news.items, news.position);
    }
    hooks_.on_held_back(news.held_back);
    follower_->skip_to(copy_.position());
    record_peer_news(news);
}

void store_sync::record_peer_news(const peers::store_update& news)
{
    if (news.position.era() < follower_->era()) {
        return;
    }
    const auto now = clock_.now();
    const bool is_domain_peer = peers_.is_in_domain(news.sender);
    if (news.age > limits_.max_age) {
        if (is_domain_peer) {
            role_.record_peer_contact(now);
        }
        return;
    }
    const auto confirmed_at = now - news.age;
    peer_confirmed_at_ =
        std::max(peer_confirmed_at_.value_or(confirmed_at), confirmed_at);
    if (is_domain_peer) {
        role_.record_peer_news(confirmed_at, now);
    }
}

} // namespace tamarackhoist::node
