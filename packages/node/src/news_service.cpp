#include <tamarackhoist/node/news_service.hpp>

#include <algorithm>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using peers::member;
using policy::store_item;
using runtime::duration;
using runtime::event_number;
using namespace std::chrono_literals;

namespace
{

constexpr duration tick_interval = 50ms;
/// Pause after which a follower of the service tells its peers that nothing
/// has changed.
constexpr duration push_interval = 300ms;
/// Age up to which a confirmation by the service counts as recent: the wait
/// of one call and its answer.
constexpr duration recent_age = 3200ms;
constexpr duration pull_interval = 100ms;
/// A gap in the news from which on registrations may have lapsed unseen.
constexpr duration lapse_gap = 3000ms;

/// Order of the nodes that follow the service: larger nodes first.
bool is_before(const member& left, const member& right)
{
    if (left.capacity != right.capacity) {
        return left.capacity > right.capacity;
    }
    return left.id() < right.id();
}

} // namespace

news_service::news_service(boost::asio::io_context& context,
                           runtime::clock clock, platform::store_calls calls,
                           std::uint64_t random_seed, hooks hooks)
    : clock_(std::move(clock)), hooks_(std::move(hooks)),
      role_({}, clock_.now()), timer_(context)
{
    platform::news_follower::options options;
    options.random_seed = random_seed;
    follower_ = std::make_shared<platform::news_follower>(
        context, clock_, options, std::move(calls), watch_follower());
}

platform::news_follower::observer news_service::watch_follower()
{
    return {.listed =
                [this](const std::vector<store_item>& items,
                       std::uint64_t revision) {
                    replace(items, revision);
                    push(make_full_news().items, 0);
                },
            .changed =
                [this](const std::vector<store_item>& items,
                       std::uint64_t revision) {
                    const auto before = revision_;
                    keep(items, revision);
                    if (!items.empty()) {
                        push(items, before);
                    }
                },
            .regained =
                [this] {
                    is_service_lost_ = false;
                    runtime::log_line(event_number::platform_regained)
                        .add("revision", revision_);
                    hooks_.grace(policy::upstream_directory::lapse_grace);
                },
            .lost =
                [this](platform::store_error error) {
                    is_service_lost_ = true;
                    runtime::log_line(event_number::platform_read_failed)
                        .add("reason", platform::to_string(error))
                        .add("revision", revision_)
                        .add("news_age_ms", age());
                }};
}

void news_service::start(peer_group& peers)
{
    peers_ = &peers;
    members_changed();
    tick();
}

void news_service::stop()
{
    timer_.cancel();
    follower_->pause();
}

duration news_service::age() const
{
    const auto heard = heard_at();
    return heard ? clock_.now() - *heard : clock_.now().time_since_epoch();
}

std::optional<runtime::time_point> news_service::heard_at() const
{
    const auto own = follower_->last_response_at();
    if (!own || !shared_heard_at_) {
        return own ? own : shared_heard_at_;
    }
    return std::max(*own, *shared_heard_at_);
}

void news_service::members_changed()
{
    if (peers_ == nullptr) {
        return;
    }
    domain_peers_ = peers_->live_peers();
    std::erase_if(domain_peers_, [&](const member& each) {
        return each.failure_domain != peers_->self().failure_domain;
    });
    rank_ = static_cast<std::size_t>(std::count_if(
        domain_peers_.begin(), domain_peers_.end(),
        [&](const member& each) { return is_before(each, peers_->self()); }));
    pull_if_empty();
}

void news_service::tick()
{
    choose_role();
    pull_if_empty();
    const auto now = clock_.now();
    const bool is_recent = is_complete_ && follower_->is_following() &&
                           !is_service_lost_ && age() <= recent_age;
    if (is_recent && now - pushed_at_ >= push_interval) {
        push({}, revision_);
    }
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void news_service::choose_role()
{
    const bool should_follow =
        role_.follows_service(rank_, is_complete_, clock_.now());
    if (should_follow == follower_->is_following()) {
        return;
    }
    runtime::log_line(event_number::news_role_changed)
        .add("follows_service", should_follow ? "yes" : "no")
        .add("rank", rank_)
        .add("news_age_ms", age());
    if (should_follow) {
        follower_->resume();
    } else {
        follower_->pause();
    }
}

void news_service::keep(const std::vector<store_item>& items,
                        std::uint64_t revision)
{
    std::vector<store_item> fresh;
    for (const auto& item : items) {
        auto& known = items_[item.key];
        if (known.revision < item.revision) {
            known = item;
            fresh.push_back(item);
        }
    }
    revision_ = std::max(revision_, revision);
    if (!fresh.empty()) {
        hooks_.changed(fresh);
    }
}

void news_service::replace(const std::vector<store_item>& items,
                           std::uint64_t revision)
{
    // Pages and pushes may cross: what is newer than the list stays.
    std::map<std::string, store_item> next;
    for (const auto& item : items) {
        next[item.key] = item;
    }
    for (auto& [key, known] : items_) {
        const auto found = next.find(key);
        const auto listed =
            found != next.end() ? found->second.revision : revision;
        if (known.revision > listed) {
            next[key] = known;
        }
    }
    items_ = std::move(next);
    revision_ = std::max(revision_, revision);
    is_complete_ = true;
    hooks_.listed(make_full_news().items, revision);
}

peers::shared_news news_service::make_full_news() const
{
    peers::shared_news news;
    news.sender = peers_->self().name;
    news.revision = revision_;
    news.age = age();
    for (const auto& [key, item] : items_) {
        if (!item.is_removed) {
            news.items.push_back(item);
        }
    }
    return news;
}

void news_service::push(const std::vector<store_item>& items,
                        std::uint64_t after_revision)
{
    pushed_at_ = clock_.now();
    peers::shared_news news;
    news.sender = peers_->self().name;
    news.after_revision = after_revision;
    news.revision = revision_;
    news.age = age();
    news.grace = hooks_.grace_left();
    news.items = items;
    const auto body = peers::encode_news(news);
    for (const auto& each : domain_peers_) {
        peers_->call(
            each.id(), peers::call_path::news_push, body,
            [](std::string_view) {}, [](peers::call_end) {});
    }
}

void news_service::pull_if_empty()
{
    if (is_complete_ || clock_.now() - pulled_at_ < pull_interval) {
        return;
    }
    // A peer of another failure domain costs bytes between them, but callers
    // wait for this node.
    auto candidates = domain_peers_;
    if (candidates.empty()) {
        candidates = peers_->live_peers();
    }
    if (candidates.empty()) {
        return;
    }
    pulled_at_ = clock_.now();
    std::sort(candidates.begin(), candidates.end(), is_before);
    const auto tries =
        static_cast<std::size_t>(pulled_at_.time_since_epoch() / pull_interval);
    pull(candidates[tries % candidates.size()].id());
}

void news_service::pull(policy::node_id from)
{
    peers_->call(
        from, peers::call_path::news_pull, {},
        [this](std::string_view message) {
            if (const auto news = peers::decode_news(message)) {
                take_shared(*news);
            }
        },
        [](peers::call_end) {});
}

void news_service::take_call(const std::shared_ptr<peers::incoming_call>& call)
{
    if (call->path() == peers::call_path::news_pull) {
        if (is_complete_) {
            auto news = make_full_news();
            news.grace = hooks_.grace_left();
            call->reply(peers::encode_news(news));
        }
        call->finish();
        return;
    }
    call->finish();
    const auto news = peers::decode_news(call->body());
    if (!news) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed news");
        return;
    }
    take_shared(*news);
}

void news_service::take_shared(const peers::shared_news& news)
{
    const auto now = clock_.now();
    const bool is_full = news.after_revision == 0;
    if (!is_full && (!is_complete_ || news.after_revision > revision_)) {
        // Something was missed; a pull brings all of it.
        if (now - pulled_at_ >= pull_interval) {
            pulled_at_ = now;
            pull(policy::node_id::of(news.sender));
        }
        return;
    }
    if (news.grace > duration::zero()) {
        hooks_.grace(news.grace);
    } else if (is_complete_ && age() > lapse_gap) {
        hooks_.grace(policy::upstream_directory::lapse_grace);
    }
    if (is_full && news.revision >= revision_) {
        replace(news.items, news.revision);
    } else {
        keep(news.items, news.revision);
    }
    follower_->skip_to(revision_);
    if (news.age > recent_age) {
        return;
    }
    shared_heard_at_ =
        std::max(shared_heard_at_.value_or(now - news.age), now - news.age);
    const bool is_of_domain = std::any_of(
        domain_peers_.begin(), domain_peers_.end(),
        [&](const member& each) { return each.name == news.sender; });
    if (is_of_domain) {
        role_.heard_from_peer(now);
    }
}

} // namespace tamarackhoist::node
