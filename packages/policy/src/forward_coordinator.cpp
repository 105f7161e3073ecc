#include <tamarackhoist/policy/forward_coordinator.hpp>

#include <algorithm>
#include <cassert>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;

namespace
{

/// Maximum fraction of shards without an answer at which hedges are made. If
/// more shards are open, the delay is more likely caused by this node than by
/// the replicas, and hedges would increase it.
constexpr double max_hedged_fraction = 0.5;
/// Minimum delay until delayed shards are checked again.
constexpr duration hedge_recheck_interval = std::chrono::milliseconds(4);
/// Maximum slowness, relative to the typical latency, of a replica that is
/// chosen for a hedge.
constexpr double max_hedge_slowness = 4.0;
/// A request to a single service is hedged no earlier than this fraction of
/// the latency target.
constexpr int single_hedge_delay_divisor = 2;

} // namespace

forward_coordinator::forward_coordinator(forward_context& context,
                                         const upstream_directory& directory,
                                         const route& route,
                                         std::vector<std::string> shards,
                                         forward_times times, hooks hooks)
    : context_(context), directory_(directory), route_(route),
      latency_(context.latency(route.name)), times_(times),
      hooks_(std::move(hooks))
{
    shards_.reserve(shards.size());
    for (auto& service : shards) {
        shards_.push_back({std::move(service), {}, {}, false, false});
    }
}

void forward_coordinator::start(time_point now)
{
    std::vector<upstream_handle> chosen;
    chosen.reserve(shards_.size());
    for (auto& shard : shards_) {
        context_.extra_attempts(shard.service).record_request(now);
        chosen.push_back(choose_upstream(shard, now));
        if (chosen.back() == nullptr) {
            shard.is_exhausted = true;
            report_decision(decision_kind::no_replica_left, shard, nullptr,
                            now);
        }
    }
    if (!is_coverage_possible()) {
        // Nothing is sent, so the refusal can promise that nothing runs.
        finish(forward_outcome::not_executed, now);
        return;
    }
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        if (chosen[index] != nullptr) {
            send(index, chosen[index], false, now);
        }
    }
    finish_or_reschedule(now);
}

upstream_handle forward_coordinator::choose_upstream(const shard_state& shard,
                                                     time_point now)
{
    std::vector<upstream_handle> already_tried;
    already_tried.reserve(shard.attempts.size());
    for (const auto& each : shard.attempts) {
        already_tried.push_back(each.upstream);
    }
    return context_.choose_upstream(directory_.find_ready(shard.service),
                                    already_tried,
                                    latency_.typical_latency(route_), now);
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

void forward_coordinator::record_attempt_end(attempt_key key,
                                             attempt_result result,
                                             time_point now)
{
    const auto& ended = shards_[key.shard].attempts[key.attempt];
    record_attempt_end(key, result, now - ended.started, now);
}

void forward_coordinator::record_attempt_end(attempt_key key,
                                             attempt_result result,
                                             duration latency, time_point now)
{
    auto& shard = shards_[key.shard];
    auto& ended = shard.attempts[key.attempt];
    if (is_finished_ || ended.state != attempt_state::open) {
        return;
    }
    record_result(ended, result, latency, now);
    switch (result) {
    case attempt_result::answered:
        if (!shard.winner) {
            shard.winner = key.attempt;
            ++answered_shards_;
            cancel_open_attempts(shard, key.shard, now);
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
            context_.extra_attempts(shard.service).refund(now);
        }
        retry(key.shard, ended.is_extra, now);
        break;
    }
    finish_or_reschedule(now);
}

void forward_coordinator::record_result(attempt& ended, attempt_result result,
                                        duration latency, time_point now)
{
    ended.state = attempt_state::ended;
    ended.result = result;
    --ended.upstream->in_flight;
    const auto typical = latency_.typical_latency(route_);
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
                              ? choose_upstream(shard, now)
                              : nullptr;
    if (upstream == nullptr) {
        shard.is_exhausted = true;
        report_decision(decision_kind::no_replica_left, shard, nullptr, now);
        return;
    }
    if (counts_as_extra &&
        !context_.extra_attempts(shard.service).try_acquire(now)) {
        ++counts_.denied_by_budget;
        shard.is_exhausted = true;
        report_decision(decision_kind::budget_spent, shard, upstream, now);
        return;
    }
    ++counts_.retries;
    report_decision(decision_kind::retried, shard, upstream, now);
    send(index, upstream, counts_as_extra, now);
}

void forward_coordinator::hedge(std::size_t index, time_point now)
{
    auto& shard = shards_[index];
    const auto upstream = choose_upstream(shard, now);
    if (upstream == nullptr || upstream->health.is_suspect(now) ||
        upstream->health.slowness(now) > max_hedge_slowness) {
        return;
    }
    if (!context_.extra_attempts(shard.service).try_acquire(now)) {
        ++counts_.denied_by_budget;
        return;
    }
    // The delayed attempt is still open, but its age so far already counts as
    // a latency sample, so that later requests avoid the slow upstream.
    const auto& delayed = shard.attempts.back();
    delayed.upstream->health.record_slow(now - delayed.started,
                                         latency_.typical_latency(route_), now);
    ++counts_.hedges;
    report_decision(decision_kind::hedged, shard, upstream, now);
    send(index, upstream, true, now);
}

void forward_coordinator::report_decision(decision_kind kind,
                                          const shard_state& shard,
                                          const upstream_handle& chosen,
                                          time_point now)
{
    if (!hooks_.report_decision) {
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
    decision.budget_left =
        context_.extra_attempts(shard.service).remaining(now);
    hooks_.report_decision(decision);
}

duration forward_coordinator::hedge_delay() const
{
    const auto threshold = latency_.delay_threshold(route_);
    if (route_.is_fan_out()) {
        return threshold;
    }
    return std::max(threshold,
                    route_.latency_target / single_hedge_delay_divisor);
}

void forward_coordinator::hedge_delayed_shards(time_point now)
{
    if (route_.repeat != repeatability::idempotent) {
        return;
    }
    const auto open_shards = shards_.size() - answered_shards_;
    if (shards_.size() > 1 &&
        static_cast<double>(open_shards) >
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
    hedge_delayed_shards(now);
    finish_or_reschedule(now);
}

void forward_coordinator::abandon(time_point now)
{
    if (is_finished_) {
        return;
    }
    is_finished_ = true;
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        cancel_open_attempts(shards_[index], index, now);
    }
}

void forward_coordinator::end_early(time_point now)
{
    if (is_finished_) {
        return;
    }
    finish(is_coverage_sufficient() ? forward_outcome::partial
                                    : failure_outcome(),
           now);
}

void forward_coordinator::cancel_open_attempts(shard_state& shard,
                                               std::size_t index,
                                               time_point now)
{
    for (std::size_t number = 0; number < shard.attempts.size(); ++number) {
        auto& open = shard.attempts[number];
        if (open.state != attempt_state::open) {
            continue;
        }
        open.state = attempt_state::cancelled;
        shard.may_have_run = true;
        --open.upstream->in_flight;
        const auto typical = latency_.typical_latency(route_);
        open.upstream->health.record_slow(now - open.started, typical, now);
        if (now - open.started > typical) {
            latency_.add(now - open.started, now);
        }
        hooks_.cancel({index, number});
    }
}

bool forward_coordinator::has_open_attempt(const shard_state& shard)
{
    return std::any_of(
        shard.attempts.begin(), shard.attempts.end(),
        [](const attempt& each) { return each.state == attempt_state::open; });
}

bool forward_coordinator::is_coverage_sufficient() const
{
    return route_.is_fan_out() && route_.has_min_coverage(answered_shards_);
}

bool forward_coordinator::is_coverage_possible() const
{
    const auto possible_shards =
        std::count_if(shards_.begin(), shards_.end(), [](const auto& shard) {
            return shard.winner || !shard.is_exhausted;
        });
    return route_.is_fan_out() ? route_.has_min_coverage(
                                     static_cast<std::size_t>(possible_shards))
                               : possible_shards > 0;
}

bool forward_coordinator::has_pending_shard() const
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

void forward_coordinator::finish_or_reschedule(time_point now)
{
    if (is_finished_) {
        return;
    }
    if (answered_shards_ == shards_.size()) {
        finish(forward_outcome::complete, now);
        return;
    }
    const bool are_all_resolved = !has_pending_shard();
    if (is_coverage_sufficient() &&
        (are_all_resolved || now >= times_.on_time_until)) {
        finish(forward_outcome::partial, now);
        return;
    }
    if (are_all_resolved) {
        finish(failure_outcome(), now);
        return;
    }
    if (!is_coverage_possible()) {
        finish(failure_outcome(), now);
        return;
    }
    if (now >= times_.deadline) {
        finish(forward_outcome::timed_out, now);
        return;
    }
    schedule_next_wake(now);
}

void forward_coordinator::schedule_next_wake(time_point now)
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
        next_wake_ =
            std::min(next_wake_, std::max(due, now + hedge_recheck_interval));
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

const std::string& forward_coordinator::upstream_id(attempt_key key) const
{
    return shards_[key.shard].attempts[key.attempt].upstream->registration.id;
}

std::optional<attempt_key> forward_coordinator::winner(std::size_t shard) const
{
    if (!shards_[shard].winner) {
        return std::nullopt;
    }
    return attempt_key{shard, *shards_[shard].winner};
}

} // namespace tamarackhoist::policy
