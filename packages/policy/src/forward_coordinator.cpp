#include <tamarackhoist/policy/forward_coordinator.hpp>

#include <algorithm>
#include <cassert>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;

namespace
{

/// While more of the shards are open than this, the delay is more likely
/// this node's than the replicas', and hedges would add to it.
constexpr double max_hedged_fraction = 0.5;
/// Pause before delayed shards are looked at again.
constexpr duration hedge_recheck = std::chrono::milliseconds(4);
/// A replica this much slower than typical is no target for a hedge.
constexpr double max_hedge_slowness = 4.0;
/// Part of the latency target after which a request to one upstream is
/// hedged.
constexpr int single_hedge_part = 2;

} // namespace

forward_coordinator::forward_coordinator(forward_context& context,
                                         const upstream_directory& directory,
                                         const route& of,
                                         std::vector<std::string> shards,
                                         forward_times times, hooks hooks)
    : context_(context), directory_(directory), route_(of),
      latency_(context.latency(of.name)), times_(times),
      hooks_(std::move(hooks))
{
    shards_.reserve(shards.size());
    for (auto& service : shards) {
        shards_.push_back({std::move(service), {}, {}, false, false});
    }
}

void forward_coordinator::start(time_point now)
{
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        auto& shard = shards_[index];
        context_.extras(shard.service).record_request(now);
        const auto upstream = pick(shard, now);
        if (upstream == nullptr) {
            shard.is_exhausted = true;
            decide(decision_kind::no_replica_left, shard, nullptr, now);
            continue;
        }
        send(index, upstream, false, now);
    }
    settle(now);
}

upstream_handle forward_coordinator::pick(const shard_state& shard,
                                          time_point now)
{
    std::vector<upstream_handle> tried;
    tried.reserve(shard.attempts.size());
    for (const auto& each : shard.attempts) {
        tried.push_back(each.upstream);
    }
    return context_.choose(directory_.ready(shard.service), tried,
                           latency_.typical(route_), now);
}

void forward_coordinator::send(std::size_t index,
                               const upstream_handle& upstream, bool is_extra,
                               time_point now)
{
    auto& shard = shards_[index];
    shard.attempts.push_back(
        {upstream, now, attempt_state::open, is_extra, {}});
    ++upstream->in_flight;
    ++counts_.attempts;
    hooks_.send({index, shard.attempts.size() - 1}, upstream);
}

void forward_coordinator::attempt_ended(attempt_key key, attempt_result result,
                                        time_point now)
{
    const auto& ended = shards_[key.shard].attempts[key.attempt];
    attempt_ended(key, result, now - ended.started, now);
}

void forward_coordinator::attempt_ended(attempt_key key, attempt_result result,
                                        duration latency, time_point now)
{
    auto& shard = shards_[key.shard];
    auto& ended = shard.attempts[key.attempt];
    if (is_finished_ || ended.state != attempt_state::open) {
        return;
    }
    record_end(ended, result, latency, now);
    switch (result) {
    case attempt_result::answered:
        if (!shard.winner) {
            shard.winner = key.attempt;
            ++answered_;
            give_up_attempts(shard, key.shard, now);
        }
        break;
    case attempt_result::failed:
        shard.may_have_run = true;
        last_failure_ = key;
        if (route_.repeat == repeatability::idempotent) {
            retry(key.shard, true, now);
        } else {
            shard.is_exhausted = true;
        }
        break;
    case attempt_result::broken:
    case attempt_result::unreachable:
        shard.may_have_run = true;
        if (route_.repeat == repeatability::idempotent) {
            retry(key.shard, true, now);
        } else {
            shard.is_exhausted = true;
        }
        break;
    case attempt_result::not_executed:
        retry(key.shard, true, now);
        break;
    case attempt_result::not_sent:
        if (ended.is_extra) {
            context_.extras(shard.service).give_back(now);
        }
        retry(key.shard, ended.is_extra, now);
        break;
    }
    settle(now);
}

void forward_coordinator::record_end(attempt& ended, attempt_result result,
                                     duration latency, time_point now)
{
    ended.state = attempt_state::ended;
    ended.result = result;
    --ended.upstream->in_flight;
    const auto typical = latency_.typical(route_);
    auto& health = ended.upstream->health;
    switch (result) {
    case attempt_result::answered:
        health.record_success(latency, typical, now);
        latency_.add(latency, now);
        break;
    case attempt_result::not_executed:
        health.record_refusal(now);
        break;
    case attempt_result::failed:
    case attempt_result::broken:
    case attempt_result::not_sent:
        health.record_failure(now);
        break;
    case attempt_result::unreachable:
        break;
    }
}

void forward_coordinator::retry(std::size_t index, bool counts_as_extra,
                                time_point now)
{
    auto& shard = shards_[index];
    if (has_open_attempt(shard) || shard.winner) {
        return;
    }
    const auto upstream = shard.attempts.size() < route_.max_attempts
                              ? pick(shard, now)
                              : nullptr;
    if (upstream == nullptr) {
        shard.is_exhausted = true;
        decide(decision_kind::no_replica_left, shard, nullptr, now);
        return;
    }
    if (counts_as_extra && !context_.extras(shard.service).try_take(now)) {
        ++counts_.denied_by_budget;
        shard.is_exhausted = true;
        decide(decision_kind::budget_spent, shard, upstream, now);
        return;
    }
    ++counts_.retries;
    decide(decision_kind::retried, shard, upstream, now);
    send(index, upstream, counts_as_extra, now);
}

void forward_coordinator::hedge(std::size_t index, time_point now)
{
    auto& shard = shards_[index];
    const auto upstream = pick(shard, now);
    if (upstream == nullptr || upstream->health.is_suspect(now) ||
        upstream->health.slowness(now) > max_hedge_slowness) {
        return;
    }
    if (!context_.extras(shard.service).try_take(now)) {
        ++counts_.denied_by_budget;
        return;
    }
    // The delayed attempt is still open; what is known so far counts already,
    // so that requests after this one choose better.
    const auto& delayed = shard.attempts.back();
    delayed.upstream->health.record_slow(now - delayed.started,
                                         latency_.typical(route_), now);
    ++counts_.hedges;
    decide(decision_kind::hedged, shard, upstream, now);
    send(index, upstream, true, now);
}

void forward_coordinator::decide(decision_kind kind, const shard_state& shard,
                                 const upstream_handle& chosen, time_point now)
{
    if (!hooks_.decided) {
        return;
    }
    attempt_decision decision;
    decision.kind = kind;
    decision.service = shard.service;
    if (!shard.attempts.empty()) {
        const auto& latest = shard.attempts.back();
        decision.previous = latest.upstream->registration.id;
        decision.waited = now - latest.started;
    }
    if (chosen != nullptr) {
        decision.chosen = chosen->registration.id;
    }
    decision.hedge_delay = hedge_delay();
    decision.budget_left = context_.extras(shard.service).left(now);
    hooks_.decided(decision);
}

duration forward_coordinator::hedge_delay() const
{
    const auto delayed = latency_.delayed(route_);
    if (route_.is_fan_out()) {
        return delayed;
    }
    return std::max(delayed, route_.latency_target / single_hedge_part);
}

void forward_coordinator::hedge_delayed(time_point now)
{
    if (route_.repeat != repeatability::idempotent) {
        return;
    }
    const auto open = shards_.size() - answered_;
    if (shards_.size() > 1 &&
        static_cast<double>(open) >
            max_hedged_fraction * static_cast<double>(shards_.size())) {
        return;
    }
    const auto delay = hedge_delay();
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        const auto& shard = shards_[index];
        if (shard.winner || shard.is_exhausted ||
            shard.attempts.size() >= route_.max_attempts) {
            continue;
        }
        if (now - shard.attempts.back().started < delay) {
            continue;
        }
        hedge(index, now);
    }
}

void forward_coordinator::wake(time_point now)
{
    if (is_finished_) {
        return;
    }
    hedge_delayed(now);
    settle(now);
}

void forward_coordinator::abandon(time_point now)
{
    if (is_finished_) {
        return;
    }
    is_finished_ = true;
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        give_up_attempts(shards_[index], index, now);
    }
}

void forward_coordinator::give_up_attempts(shard_state& shard,
                                           std::size_t index, time_point now)
{
    for (std::size_t each = 0; each < shard.attempts.size(); ++each) {
        auto& open = shard.attempts[each];
        if (open.state != attempt_state::open) {
            continue;
        }
        open.state = attempt_state::cancelled;
        shard.may_have_run = true;
        --open.upstream->in_flight;
        const auto typical = latency_.typical(route_);
        open.upstream->health.record_slow(now - open.started, typical, now);
        if (now - open.started > typical) {
            latency_.add(now - open.started, now);
        }
        hooks_.cancel({index, each});
    }
}

bool forward_coordinator::has_open_attempt(const shard_state& shard)
{
    return std::any_of(
        shard.attempts.begin(), shard.attempts.end(),
        [](const attempt& each) { return each.state == attempt_state::open; });
}

bool forward_coordinator::is_enough() const
{
    return route_.is_fan_out() && route_.is_covered_by(answered_);
}

bool forward_coordinator::has_hope() const
{
    for (const auto& shard : shards_) {
        if (!shard.winner && !shard.is_exhausted) {
            return true;
        }
    }
    return false;
}

forward_outcome forward_coordinator::failure_outcome() const
{
    bool may_have_run = false;
    for (const auto& shard : shards_) {
        may_have_run = may_have_run || shard.may_have_run || shard.winner ||
                       has_open_attempt(shard);
    }
    if (!may_have_run) {
        return forward_outcome::not_executed;
    }
    if (!route_.is_fan_out() && last_failure_) {
        return forward_outcome::upstream_failure;
    }
    return forward_outcome::unknown;
}

void forward_coordinator::settle(time_point now)
{
    if (is_finished_) {
        return;
    }
    if (answered_ == shards_.size()) {
        finish(forward_outcome::complete, now);
        return;
    }
    const bool is_hopeless = !has_hope();
    if (is_enough() && (is_hopeless || now >= times_.on_time_until)) {
        finish(forward_outcome::partial, now);
        return;
    }
    if (is_hopeless) {
        finish(failure_outcome(), now);
        return;
    }
    if (route_.is_fan_out()) {
        // Shards that cannot answer any more may rule a success out already.
        std::size_t possible = 0;
        for (const auto& shard : shards_) {
            possible += shard.winner || !shard.is_exhausted ? 1 : 0;
        }
        if (!route_.is_covered_by(possible)) {
            finish(failure_outcome(), now);
            return;
        }
    }
    if (now >= times_.deadline) {
        finish(forward_outcome::timed_out, now);
        return;
    }
    schedule(now);
}

void forward_coordinator::schedule(time_point now)
{
    next_wake_ = times_.deadline;
    if (now < times_.on_time_until) {
        next_wake_ = std::min(next_wake_, times_.on_time_until);
    }
    if (route_.repeat != repeatability::idempotent) {
        return;
    }
    const auto delay = hedge_delay();
    for (const auto& shard : shards_) {
        if (shard.winner || shard.is_exhausted ||
            shard.attempts.size() >= route_.max_attempts) {
            continue;
        }
        const auto due = shard.attempts.back().started + delay;
        next_wake_ = std::min(next_wake_, std::max(due, now + hedge_recheck));
    }
}

void forward_coordinator::finish(forward_outcome outcome, time_point now)
{
    assert(!is_finished_);
    abandon(now);
    hooks_.finish(outcome);
}

attempt_summary forward_coordinator::last_attempt(std::size_t shard) const
{
    attempt_summary summary;
    const auto& attempts = shards_[shard].attempts;
    summary.count = attempts.size();
    if (attempts.empty()) {
        return summary;
    }
    const auto& latest = attempts.back();
    summary.upstream = latest.upstream->registration.id;
    summary.result = latest.state == attempt_state::ended
                         ? to_string(latest.result)
                         : "no answer yet";
    return summary;
}

std::optional<attempt_key> forward_coordinator::winner(std::size_t shard) const
{
    if (!shards_[shard].winner) {
        return std::nullopt;
    }
    return attempt_key{shard, *shards_[shard].winner};
}

} // namespace tamarackhoist::policy
