#include <tamarackhoist/node/store_peers.hpp>

#include <algorithm>

namespace tamarackhoist::node
{

using peers::member;
using namespace std::chrono_literals;

namespace
{

/// Minimum time between pulls from peers.
constexpr runtime::duration pull_interval = 100ms;

/// Orders the nodes of a failure domain by their priority for following the
/// service: nodes with more capacity first.
bool ranks_before(const member& left, const member& right)
{
    if (left.capacity != right.capacity) {
        return left.capacity > right.capacity;
    }
    return left.id() < right.id();
}

} // namespace

store_peers::store_peers(runtime::clock clock, pull_handler on_pulled)
    : clock_(std::move(clock)), on_pulled_(std::move(on_pulled))
{
}

void store_peers::start(peer_group& group)
{
    group_ = &group;
    update_members();
}

void store_peers::update_members()
{
    if (group_ == nullptr) {
        return;
    }
    domain_peers_ = group_->live_peers();
    std::erase_if(domain_peers_, [&](const member& each) {
        return each.failure_domain != group_->self().failure_domain;
    });
    rank_ = static_cast<std::size_t>(std::count_if(
        domain_peers_.begin(), domain_peers_.end(), [&](const member& each) {
            return ranks_before(each, group_->self());
        }));
}

bool store_peers::is_in_domain(std::string_view name) const
{
    return std::any_of(domain_peers_.begin(), domain_peers_.end(),
                       [&](const member& each) { return each.name == name; });
}

std::string_view store_peers::own_name() const
{
    return group_->self().name;
}

void store_peers::push(const peers::store_update& update)
{
    last_push_at_ = clock_.now();
    const auto body = peers::encode_store_update(update);
    for (const auto& each : domain_peers_) {
        group_->call(
            each.id(), peers::call_path::store_push, body,
            [](std::string_view) {}, [](peers::call_end) {});
    }
}

bool store_peers::has_pulled_recently() const
{
    return clock_.now() - last_pull_at_ < pull_interval;
}

void store_peers::pull_from_any()
{
    if (group_ == nullptr || has_pulled_recently()) {
        return;
    }
    // A pull from another failure domain causes traffic between domains, but
    // this node cannot serve callers without the items.
    auto candidates = domain_peers_;
    if (candidates.empty()) {
        candidates = group_->live_peers();
    }
    pull_from_one_of(std::move(candidates));
}

void store_peers::pull_from_other_domain()
{
    if (group_ == nullptr || has_pulled_recently()) {
        return;
    }
    auto candidates = group_->live_peers();
    std::erase_if(candidates, [&](const member& each) {
        return each.failure_domain == group_->self().failure_domain;
    });
    if (candidates.empty()) {
        candidates = domain_peers_;
    }
    pull_from_one_of(std::move(candidates));
}

void store_peers::pull_from_one_of(std::vector<member> candidates)
{
    if (candidates.empty()) {
        return;
    }
    std::sort(candidates.begin(), candidates.end(), ranks_before);
    const auto attempt = static_cast<std::size_t>(
        clock_.now().time_since_epoch() / pull_interval);
    pull(candidates[attempt % candidates.size()].id());
}

void store_peers::pull_from(std::string_view name)
{
    if (!has_pulled_recently()) {
        pull(policy::node_id::from_name(name));
    }
}

void store_peers::pull(policy::node_id peer)
{
    last_pull_at_ = clock_.now();
    group_->call(
        peer, peers::call_path::store_pull, {},
        [this](std::string_view message) {
            if (const auto update = peers::decode_store_update(message)) {
                on_pulled_(*update);
            }
        },
        [](peers::call_end) {});
}

} // namespace tamarackhoist::node
