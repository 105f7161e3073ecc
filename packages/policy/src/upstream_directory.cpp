#include <tamarackhoist/policy/upstream_directory.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::policy
{

using runtime::time_point;

namespace
{

/// Time until it is checked again whether the store still lists an upstream.
constexpr runtime::duration confirmation_check_interval =
    std::chrono::milliseconds(500);

} // namespace

bool tracked_upstream::is_withdrawn() const
{
    return is_gone || registration.is_draining || is_leaving;
}

send_permission tracked_upstream::permission(time_point now) const
{
    if (is_gone) {
        return {hold_reason::gone};
    }
    if (registration.is_draining) {
        return {hold_reason::draining};
    }
    if (is_leaving) {
        return {hold_reason::leaving};
    }
    if (const auto until = pause.held_until(now)) {
        return {hold_reason::paused, until};
    }
    return {};
}

upstream_directory::upstream_directory(observer callbacks)
    : observer_(std::move(callbacks))
{
}

void upstream_directory::put(const registered_upstream& entry, time_point now)
{
    auto& current = by_id_[entry.id];
    const bool is_new_incarnation =
        current == nullptr ||
        current->registration.started_at != entry.started_at ||
        current->registration.address != entry.address ||
        current->registration.port != entry.port ||
        current->registration.service != entry.service;
    if (current != nullptr && entry.position < current->registration.position) {
        return;
    }
    unconfirmed_.erase(entry.id);
    if (is_new_incarnation) {
        const auto previous = current;
        current = std::make_shared<tracked_upstream>();
        current->registration = entry;
        current->warm_at = now + entry.warm_up_left;
        const auto said = departed_.find_notice(entry);
        current->is_leaving = said.is_leaving;
        current->pause = said.pause;
        if (previous != nullptr) {
            record_departure(*previous, now);
        }
        departed_.forget(entry);
        if (previous != nullptr) {
            previous->is_gone = true;
            rebuild_ready_list(previous->registration.service);
            observer_.gone(*previous);
        }
        rebuild_ready_list(entry.service);
        observer_.added(current);
        return;
    }
    const bool was_withdrawn = current->is_withdrawn();
    current->registration = entry;
    current->warm_at = now + entry.warm_up_left;
    current->removal_due_at.reset();
    rebuild_ready_list(entry.service);
    if (!was_withdrawn && current->is_withdrawn()) {
        observer_.draining(*current);
    }
}

void upstream_directory::remove(std::string_view id, store_position position,
                                time_point now)
{
    const auto unconfirmed = unconfirmed_.find(id);
    if (unconfirmed != unconfirmed_.end() &&
        unconfirmed->second.entry.position <= position) {
        unconfirmed_.erase(unconfirmed);
    }
    remove_registration(id, position, now);
}

void upstream_directory::remove_registration(std::string_view id,
                                             store_position position,
                                             time_point now)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end() ||
        found->second->registration.position > position) {
        return;
    }
    schedule_removal(found->second, now);
}

void upstream_directory::replace_all(
    std::span<const registered_upstream> entries, store_position position,
    time_point now)
{
    const bool is_new_era = !era_ || position.era() > *era_;
    if (is_new_era) {
        begin_era(position.era(), now);
    }
    const auto unconfirmed_before = std::exchange(unconfirmed_, {});
    std::set<std::string_view> listed;
    for (const auto& entry : entries) {
        const auto waiting = unconfirmed_before.find(entry.id);
        const bool is_waiting =
            waiting != unconfirmed_before.end() &&
            waiting->second.entry.position == entry.position;
        if (is_waiting) {
            unconfirmed_.insert(*waiting);
        } else if (is_new_era && is_taken_back(entry)) {
            hold_unconfirmed(entry, now);
        } else {
            put(entry, now);
        }
        // An older incarnation does not vouch for the one in use.
        if (find_incarnation(entry.id, entry.started_at) != nullptr) {
            listed.insert(entry.id);
        }
    }
    std::vector<std::string> missing;
    for (const auto& [id, upstream] : by_id_) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        remove_registration(id, position, now);
    }
}

void upstream_directory::begin_era(std::uint64_t era, time_point now)
{
    if (era_) {
        extend_grace(now + lapsed_registration_grace);
    }
    era_ = era;
    for (const auto& [id, upstream] : by_id_) {
        if (upstream->removal_due_at) {
            upstream->removal_due_at = grace_until_;
        }
    }
}

upstream_handle
upstream_directory::find_incarnation(std::string_view id,
                                     std::uint64_t started_at) const
{
    const auto found = by_id_.find(id);
    const bool is_known = found != by_id_.end() &&
                          found->second->registration.started_at == started_at;
    return is_known ? found->second : nullptr;
}

bool upstream_directory::is_taken_back(const registered_upstream& entry) const
{
    if (entry.is_draining) {
        return false;
    }
    if (departed_.contains(entry)) {
        return true;
    }
    const auto found = by_id_.find(entry.id);
    if (found == by_id_.end()) {
        return false;
    }
    const auto& known = found->second->registration;
    return known.started_at > entry.started_at ||
           (known.started_at == entry.started_at && known.is_draining);
}

void upstream_directory::hold_unconfirmed(const registered_upstream& entry,
                                          time_point now)
{
    const auto usable_at = now + confirmation_time;
    unconfirmed_[entry.id] = {entry, usable_at, usable_at};
}

std::vector<withdrawn_upstream> upstream_directory::withdrawn() const
{
    auto all = departed_.list();
    for (const auto& [id, upstream] : by_id_) {
        if (upstream->is_withdrawn()) {
            all.push_back(
                {id, upstream->registration.started_at, upstream->is_leaving});
        }
    }
    return all;
}

void upstream_directory::record_withdrawn(
    std::span<const withdrawn_upstream> upstreams, store_position position,
    time_point now)
{
    for (const auto& each : upstreams) {
        const auto upstream = find_incarnation(each.id, each.started_at);
        if (upstream == nullptr) {
            departed_.record(each.id, each.started_at, {each.is_leaving, {}},
                             now);
            continue;
        }
        if (each.is_leaving) {
            record_leaving(*upstream);
        }
        const bool is_newer = upstream->registration.position > position;
        if (is_newer || upstream->is_withdrawn()) {
            continue;
        }
        remove_now(each.id, now);
        const bool is_listed = upstream->registration.position.era() == era_ &&
                               !upstream->removal_due_at;
        if (is_listed) {
            hold_unconfirmed(upstream->registration, now);
        }
    }
}

void upstream_directory::record_departure(const tracked_upstream& upstream,
                                          time_point now)
{
    const auto& entry = upstream.registration;
    departed_.record(entry.id, entry.started_at,
                     {upstream.is_leaving, upstream.pause}, now);
}

void upstream_directory::record_leaving(tracked_upstream& upstream)
{
    const auto& entry = upstream.registration;
    const auto registered = find_incarnation(entry.id, entry.started_at);
    if (upstream.is_gone && registered != nullptr &&
        registered.get() != &upstream) {
        // An answer to a request from before its registration lapsed.
        record_leaving(*registered);
    }
    if (upstream.is_gone) {
        departed_.record_leaving(entry);
    }
    const bool was_withdrawn = upstream.is_withdrawn();
    upstream.is_leaving = true;
    if (!was_withdrawn) {
        rebuild_ready_list(upstream.registration.service);
        observer_.draining(upstream);
    }
}

std::optional<upstream_hold> upstream_directory::find_hold(std::string_view id,
                                                           time_point now) const
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return std::nullopt;
    }
    const auto& upstream = *found->second;
    const auto until = upstream.pause.held_until(now);
    if (!upstream.is_leaving && !until) {
        return std::nullopt;
    }
    return upstream_hold{upstream.registration.started_at, upstream.is_leaving,
                         until.value_or(now) - now};
}

void upstream_directory::record_hold(std::string_view id,
                                     const upstream_hold& hold, time_point now)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end() ||
        found->second->registration.started_at != hold.started_at) {
        return;
    }
    const auto upstream = found->second;
    if (hold.pause_left > runtime::duration::zero()) {
        upstream->pause.extend(hold.pause_left, 0.0, now);
    }
    if (hold.is_leaving) {
        record_leaving(*upstream);
    }
}

void upstream_directory::extend_grace(time_point until)
{
    grace_until_ = std::max(grace_until_, until);
}

runtime::duration upstream_directory::grace_left(time_point now) const
{
    return runtime::non_negative(grace_until_ - now);
}

void upstream_directory::schedule_removal(const upstream_handle& upstream,
                                          time_point now)
{
    if (now >= grace_until_) {
        remove_now(upstream->registration.id, now);
        return;
    }
    if (!upstream->removal_due_at) {
        upstream->removal_due_at = grace_until_;
    }
}

void upstream_directory::expire(time_point now,
                                std::optional<time_point> confirmed_at)
{
    std::vector<std::string> due;
    for (const auto& [id, upstream] : by_id_) {
        if (upstream->removal_due_at && *upstream->removal_due_at <= now) {
            due.push_back(id);
        }
    }
    for (const auto& id : due) {
        remove_now(id, now);
    }
    use_confirmed(now, confirmed_at);
}

void upstream_directory::use_confirmed(time_point now,
                                       std::optional<time_point> confirmed_at)
{
    std::vector<registered_upstream> confirmed;
    for (auto& [id, registration] : unconfirmed_) {
        if (registration.next_check_at > now) {
            continue;
        }
        if (confirmed_at && *confirmed_at >= registration.usable_at) {
            confirmed.push_back(registration.entry);
            continue;
        }
        registration.next_check_at = now + confirmation_check_interval;
    }
    for (const auto& entry : confirmed) {
        unconfirmed_.erase(entry.id);
        put(entry, now);
    }
}

std::optional<time_point> upstream_directory::next_expiry() const
{
    std::optional<time_point> next;
    const auto add = [&next](time_point due_at) {
        next = std::min(next.value_or(due_at), due_at);
    };
    for (const auto& [id, upstream] : by_id_) {
        if (upstream->removal_due_at) {
            add(*upstream->removal_due_at);
        }
    }
    for (const auto& [id, registration] : unconfirmed_) {
        add(registration.next_check_at);
    }
    return next;
}

std::span<const upstream_handle>
upstream_directory::find_ready(std::string_view service) const
{
    const auto found = ready_by_service_.find(service);
    if (found == ready_by_service_.end()) {
        return {};
    }
    return found->second;
}

std::optional<time_point>
upstream_directory::earliest_return(std::string_view service,
                                    time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& upstream : find_ready(service)) {
        const auto permission = upstream->permission(now);
        if (permission.is_granted()) {
            return std::nullopt;
        }
        if (!permission.held_until) {
            continue;
        }
        earliest = std::min(earliest.value_or(*permission.held_until),
                            *permission.held_until);
    }
    return earliest;
}

void upstream_directory::remove_now(const std::string& id, time_point now)
{
    const auto found = by_id_.find(id);
    const auto upstream = found->second;
    record_departure(*upstream, now);
    by_id_.erase(found);
    upstream->is_gone = true;
    rebuild_ready_list(upstream->registration.service);
    observer_.gone(*upstream);
}

void upstream_directory::rebuild_ready_list(const std::string& service)
{
    auto& ready = ready_by_service_[service];
    ready.clear();
    for (const auto& [id, upstream] : by_id_) {
        if (upstream->registration.service != service ||
            upstream->is_withdrawn()) {
            continue;
        }
        ready.push_back(upstream);
    }
}

} // namespace tamarackhoist::policy
