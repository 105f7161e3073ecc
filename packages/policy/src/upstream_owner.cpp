#include <tamarackhoist/policy/upstream_owner.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

constexpr double median = 0.5;
constexpr runtime::duration service_window = std::chrono::seconds(2);
/// Assumed service time until the upstream's own is known.
constexpr runtime::duration initial_service = std::chrono::milliseconds(5);
/// Weight of the newest sample in the smoothed service time.
constexpr int smoothing = 8;
/// Time after an urgent request for which a slot is held free for the next.
constexpr runtime::duration reservation_time = std::chrono::seconds(1);
/// Time to its deadline below which a request is not written any more.
constexpr runtime::duration min_sending_time = std::chrono::milliseconds(1);

} // namespace

bool is_worth_sending(const sub_request& request, runtime::time_point now)
{
    return request.deadline - now >= min_sending_time;
}

upstream_owner::upstream_owner(upstream description,
                               std::span<const priority_class> classes,
                               hooks actions)
    : description_(std::move(description)), actions_(std::move(actions)),
      queue_(classes), limit_(description_.slots),
      service_median_(median, service_window),
      service_average_(initial_service), paces_(classes.size())
{
    assert(actions_.dispatch && actions_.abort && actions_.reply &&
           actions_.may_start);
}

runtime::duration upstream_owner::expected_service() const
{
    return service_median_.quantile().value_or(initial_service);
}

runtime::duration upstream_owner::expected_wait(class_index rank) const
{
    const auto ahead = queue_.length_ahead(rank);
    if (ahead == 0 && running_.size() < limit_.allowed()) {
        return {};
    }
    if (rank == 0) {
        return (ahead + 1) * service_average_ / limit_.allowed();
    }
    // The queue of more urgent classes says little about a less urgent one,
    // since more may arrive; the pace at which the class is served says it.
    return (queue_.size_of(rank) + 1) * paces_[rank].interval;
}

void upstream_owner::note_pace(const work_queue::waiting& next,
                               runtime::time_point now)
{
    auto& pace = paces_[next.request.rank];
    const auto since = std::max(pace.started_at, next.queued_at);
    pace.interval += (now - since - pace.interval) / smoothing;
    pace.started_at = now;
}

void upstream_owner::answer(const sub_request& request, sub_reply reply)
{
    reply.id = request.id;
    reply.source = description_.id;
    reply.load = load(request.rank);
    actions_.reply(std::move(reply));
}

void upstream_owner::refuse(const sub_request& request, refusal reason,
                            runtime::duration waited)
{
    sub_reply reply;
    reply.outcome = sub_outcome::not_run;
    reply.reason = reason;
    reply.waited = waited;
    answer(request, std::move(reply));
}

void upstream_owner::submit(sub_request request, runtime::time_point now)
{
    request.rank = std::min(request.rank, queue_.class_count() - 1);
    if (request.rank == 0) {
        urgent_seen_at_ = now;
    }
    if (is_draining()) {
        refuse(request, refusal::draining, {});
        return;
    }
    // A hedge only uses capacity that is idle or held free for its class, so
    // that it never delays a first attempt of that class. Less urgent requests
    // that wait, as in a flood of them, do not count.
    const bool would_wait = running_.size() >= limit_.allowed() ||
                            queue_.length_ahead(request.rank) > 0;
    if ((request.is_hedge || request.may_redirect) && would_wait) {
        refuse(request, refusal::busy, {});
        return;
    }
    if (queue_.size_of(request.rank) >= work_queue::max_class_length) {
        refuse(request, refusal::queue_full, {});
        return;
    }
    if (request.deadline <= now + expected_service()) {
        refuse(request, refusal::no_time, {});
        return;
    }
    if (queue_.empty()) {
        first_request_at_ = now;
    }
    queue_.push(std::move(request), now);
    pump(now);
}

start_limits upstream_owner::limits_at(runtime::time_point now) const
{
    const auto all = queue_.class_count() - 1;
    const bool is_reserved =
        urgent_seen_at_ && now - *urgent_seen_at_ < reservation_time;
    if (!is_reserved || limit_.allowed() < 2) {
        return {all, all};
    }
    // Requests that run cannot be pre-empted, so other classes leave a slot
    // free for the most urgent one. While that class stays within its share,
    // work that is served in its turn leaves a slot free beside urgent
    // requests as well.
    const auto others = running_.size() - running_urgent_;
    const auto taken = queue_.is_within_share(0) ? running_.size() : others;
    return {taken + 1 < limit_.allowed() ? all : 0,
            others + 1 < limit_.allowed() ? all : 0};
}

void upstream_owner::pump(runtime::time_point now)
{
    if (!queue_.empty() && !actions_.may_start(now)) {
        refuse_queued(refusal::node_resumed, now);
        return;
    }
    const bool is_current = knows_state(now);
    if (!is_current) {
        known_at_.reset();
        // After a take-over the first news takes a moment. News that ended
        // may never come back, and other replicas can answer now.
        const bool is_waiting = !was_known_ && first_request_at_ &&
                                now - *first_request_at_ < health_patience;
        if (!is_waiting) {
            refuse_queued(refusal::not_connected, now);
        }
    }
    queue_.accrue(now, limit_.allowed());
    for (auto& each : queue_.remove_expired(now, expected_service())) {
        refuse(each.request, refusal::no_time, now - each.queued_at);
    }
    while (is_current && !is_draining() && running_.size() < limit_.allowed()) {
        auto next = queue_.pop(now, limits_at(now), expected_service());
        if (!next) {
            break;
        }
        start(std::move(*next), now);
    }
}

void upstream_owner::start(work_queue::waiting next, runtime::time_point now)
{
    const auto id = next.request.id;
    const auto rank = next.request.rank;
    const auto charged = expected_service();
    note_pace(next, now);
    queue_.charge(rank, charged);
    if (rank == 0) {
        ++running_urgent_;
    }
    const auto [entry, is_new] =
        running_.emplace(id, running{std::move(next.request), now,
                                     now - next.queued_at, charged, false});
    assert(is_new);
    // The hook may finish the request before it returns, which invalidates
    // the entry; it therefore gets a copy.
    const auto request = entry->second.request;
    actions_.dispatch(request);
}

void upstream_owner::learn(const running& done, const upstream_report& report,
                           runtime::time_point now)
{
    const auto elapsed = now - done.started_at;
    queue_.charge(done.request.rank, elapsed - done.charged);
    switch (report.outcome) {
    case upstream_outcome::answered:
        consecutive_failures_ = 0;
        limit_.on_success();
        service_median_.add(elapsed, now);
        service_average_ += (elapsed - service_average_) / smoothing;
        break;
    case upstream_outcome::version_unavailable:
        consecutive_failures_ = 0;
        break;
    case upstream_outcome::shed:
        limit_.on_shed(now);
        break;
    case upstream_outcome::not_connected:
        // What was known of the upstream may have changed out of sight.
        known_at_.reset();
        limit_.restart();
        ++consecutive_failures_;
        break;
    case upstream_outcome::broken:
        ++consecutive_failures_;
        break;
    case upstream_outcome::abandoned:
        // An abandoned request was slow for at least this long.
        service_average_ = std::max(
            service_average_,
            service_average_ + (elapsed - service_average_) / smoothing);
        break;
    }
    if (report.versions.high != 0) {
        known_at_ = now;
        was_known_ = true;
        versions_ = report.versions;
    }
}

void upstream_owner::finish(request_id id, upstream_report report,
                            runtime::time_point now)
{
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const auto done = std::move(found->second);
    running_.erase(found);
    if (done.request.rank == 0) {
        --running_urgent_;
    }
    learn(done, report, now);
    if (!done.is_abandoned) {
        sub_reply reply;
        reply.waited = done.waited;
        reply.version = report.version;
        reply.covered = std::move(report.covered);
        reply.items = std::move(report.items);
        switch (report.outcome) {
        case upstream_outcome::answered:
            reply.outcome = sub_outcome::answered;
            break;
        case upstream_outcome::version_unavailable:
            reply.outcome = sub_outcome::version_unavailable;
            break;
        case upstream_outcome::shed:
            reply.outcome = sub_outcome::shed;
            break;
        case upstream_outcome::not_connected:
            reply.outcome = sub_outcome::not_run;
            reply.reason = refusal::not_connected;
            break;
        case upstream_outcome::broken:
        case upstream_outcome::abandoned:
            reply.outcome = sub_outcome::failed;
            break;
        }
        answer(done.request, std::move(reply));
    }
    if (report.is_draining != is_draining_ &&
        report.outcome != upstream_outcome::not_connected &&
        report.outcome != upstream_outcome::broken &&
        report.outcome != upstream_outcome::abandoned) {
        set_draining(report.is_draining, now);
    }
    pump(now);
}

void upstream_owner::cancel(request_id id, runtime::time_point now)
{
    if (const auto queued = queue_.remove(id)) {
        refuse(queued->request, refusal::cancelled, now - queued->queued_at);
        return;
    }
    const auto found = running_.find(id);
    if (found == running_.end() || found->second.is_abandoned ||
        !found->second.request.is_idempotent) {
        return;
    }
    found->second.is_abandoned = true;
    const auto request = found->second.request;
    sub_reply reply;
    reply.outcome = sub_outcome::failed;
    reply.waited = found->second.waited;
    answer(request, std::move(reply));
    actions_.abort(id);
}

void upstream_owner::advance(runtime::time_point now)
{
    std::vector<request_id> overdue;
    for (const auto& [id, each] : running_) {
        // The reply of a non-idempotent request is awaited beyond the
        // deadline, since it settles whether the request ran.
        if (each.is_abandoned || !each.request.is_idempotent ||
            each.request.deadline > now) {
            continue;
        }
        overdue.push_back(id);
    }
    for (const auto& id : overdue) {
        cancel(id, now);
    }
    pump(now);
}

std::optional<runtime::time_point> upstream_owner::next_wakeup() const
{
    auto earliest = queue_.earliest_deadline();
    if (earliest) {
        *earliest -= std::min<runtime::duration>(expected_service(),
                                                 earliest->time_since_epoch());
    }
    if (earliest && first_request_at_ && !known_at_) {
        earliest = std::min(*earliest, *first_request_at_ + health_patience);
    }
    for (const auto& [id, each] : running_) {
        if (each.is_abandoned || !each.request.is_idempotent) {
            continue;
        }
        const auto due = each.request.deadline;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

bool upstream_owner::knows_state(runtime::time_point now) const
{
    return known_at_ && now - *known_at_ <= state_validity;
}

void upstream_owner::on_health(const upstream_report& report,
                               runtime::time_point now)
{
    known_at_ = now;
    was_known_ = true;
    versions_ = report.versions;
    if (report.is_draining != is_draining_) {
        set_draining(report.is_draining, now);
    }
    pump(now);
}

void upstream_owner::set_draining(bool is_draining, runtime::time_point now)
{
    is_draining_ = is_draining;
    if (is_draining_) {
        refuse_queued(refusal::draining, now);
    }
}

void upstream_owner::set_listed_leaving(bool is_leaving,
                                        runtime::time_point now)
{
    is_listed_leaving_ = is_leaving;
    if (is_listed_leaving_) {
        refuse_queued(refusal::draining, now);
    }
}

void upstream_owner::refuse_queued(refusal reason, runtime::time_point now)
{
    for (auto& each : queue_.clear()) {
        refuse(each.request, reason, now - each.queued_at);
    }
}

void upstream_owner::set_classes(std::span<const priority_class> classes)
{
    queue_.set_classes(classes);
    paces_.resize(classes.size());
}

upstream_load upstream_owner::load(class_index rank) const
{
    return {rank,
            expected_wait(rank),
            service_average_,
            versions_,
            is_draining(),
            consecutive_failures_ >= suspect_failures};
}

} // namespace tamarackhoist::policy
