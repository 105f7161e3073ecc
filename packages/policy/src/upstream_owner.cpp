#include <tamarackhoist/policy/upstream_owner.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

constexpr double median = 0.5;
constexpr runtime::duration service_time_window = std::chrono::seconds(2);
/// Service time that is assumed until one was measured.
constexpr runtime::duration initial_service_time = std::chrono::milliseconds(5);
/// Divisor of the moving averages: a new sample has a weight of 1/8.
constexpr int smoothing_divisor = 8;
/// Time for which a slot is reserved after a request of the most urgent class.
constexpr runtime::duration urgent_reservation_time = std::chrono::seconds(1);
/// Minimum time to the deadline at which a request is still written.
constexpr runtime::duration min_time_to_send = std::chrono::milliseconds(1);

} // namespace

bool has_time_to_send(const sub_request& request, runtime::time_point now)
{
    return request.deadline - now >= min_time_to_send;
}

upstream_owner::upstream_owner(upstream description,
                               std::span<const priority_class> classes,
                               hooks actions)
    : description_(std::move(description)), actions_(std::move(actions)),
      queue_(classes), limit_(description_.slots),
      median_service_time_(median, service_time_window),
      mean_service_time_(initial_service_time), start_rates_(classes.size())
{
    assert(actions_.dispatch && actions_.abort && actions_.reply &&
           actions_.may_start);
}

runtime::duration upstream_owner::expected_service_time() const
{
    return median_service_time_.quantile().value_or(initial_service_time);
}

runtime::duration upstream_owner::expected_queue_delay(class_index rank) const
{
    const auto ahead = queue_.count_ahead(rank);
    if (ahead == 0 && running_.size() < limit_.allowed()) {
        return {};
    }
    if (rank == 0) {
        return (ahead + 1) * mean_service_time_ / limit_.allowed();
    }
    // For a less urgent class the length of the more urgent queues predicts
    // little, since more urgent requests may arrive. The rate at which its own
    // requests are started is a better estimate.
    return (queue_.class_size(rank) + 1) * start_rates_[rank].mean_interval;
}

void upstream_owner::record_start(const work_queue::queued_request& next,
                                  runtime::time_point now)
{
    auto& rate = start_rates_[next.request.rank];
    const auto since = std::max(rate.last_start_at, next.queued_at);
    rate.mean_interval +=
        (now - since - rate.mean_interval) / smoothing_divisor;
    rate.last_start_at = now;
}

void upstream_owner::send_reply(const sub_request& request, sub_reply reply)
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
    send_reply(request, std::move(reply));
}

void upstream_owner::submit(sub_request request, runtime::time_point now)
{
    request.rank = std::min(request.rank, queue_.class_count() - 1);
    if (request.rank == 0) {
        last_urgent_at_ = now;
    }
    if (is_draining()) {
        refuse(request, refusal::draining, {});
        return;
    }
    // A hedge only uses capacity that is idle or reserved for its class, so
    // that it never delays a first attempt of that class. Queued requests of
    // less urgent classes are not considered: a flood of them must not prevent
    // urgent hedges.
    const bool would_wait = running_.size() >= limit_.allowed() ||
                            queue_.count_ahead(request.rank) > 0;
    if ((request.is_hedge || request.may_redirect) && would_wait) {
        refuse(request, refusal::busy, {});
        return;
    }
    if (queue_.class_size(request.rank) >= work_queue::max_class_length) {
        refuse(request, refusal::queue_full, {});
        return;
    }
    if (request.deadline <= now + expected_service_time()) {
        refuse(request, refusal::no_time, {});
        return;
    }
    if (queue_.empty()) {
        queue_nonempty_since_ = now;
    }
    queue_.push(std::move(request), now);
    process_queue(now);
}

start_limits upstream_owner::current_start_limits(runtime::time_point now) const
{
    const auto least_urgent = queue_.class_count() - 1;
    const bool is_reserved =
        last_urgent_at_ && now - *last_urgent_at_ < urgent_reservation_time;
    if (!is_reserved || limit_.allowed() < 2) {
        return {least_urgent, least_urgent};
    }
    // Running requests cannot be pre-empted, so the other classes leave one
    // slot free for the most urgent class. While that class is within its
    // guaranteed share, requests that start by priority also leave a slot free
    // in addition to those that urgent requests occupy.
    const auto others = running_.size() - running_urgent_count_;
    const auto occupied = queue_.is_within_share(0) ? running_.size() : others;
    return {occupied + 1 < limit_.allowed() ? least_urgent : 0,
            others + 1 < limit_.allowed() ? least_urgent : 0};
}

void upstream_owner::process_queue(runtime::time_point now)
{
    if (!queue_.empty() && !actions_.may_start(now)) {
        refuse_queued(refusal::node_resumed, now);
        return;
    }
    const bool is_state_current = has_current_state(now);
    if (!is_state_current) {
        state_known_at_.reset();
        // After a take-over the first health report arrives soon, so requests
        // wait for it. When reports have stopped they may never resume, so
        // requests are refused at once and can go to other replicas.
        const bool is_waiting = !was_state_known_ && queue_nonempty_since_ &&
                                now - *queue_nonempty_since_ < max_health_wait;
        if (!is_waiting) {
            refuse_queued(refusal::not_connected, now);
        }
    }
    queue_.accrue_credit(now, limit_.allowed());
    for (auto& expired : queue_.remove_expired(now, expected_service_time())) {
        refuse(expired.request, refusal::no_time, now - expired.queued_at);
    }
    while (is_state_current && !is_draining() &&
           running_.size() < limit_.allowed()) {
        auto next =
            queue_.pop(now, current_start_limits(now), expected_service_time());
        if (!next) {
            break;
        }
        start(std::move(*next), now);
    }
}

void upstream_owner::start(work_queue::queued_request next,
                           runtime::time_point now)
{
    const auto id = next.request.id;
    const auto rank = next.request.rank;
    const auto charged_time = expected_service_time();
    record_start(next, now);
    queue_.charge(rank, charged_time);
    if (rank == 0) {
        ++running_urgent_count_;
    }
    const auto [entry, is_new] = running_.emplace(
        id, running{std::move(next.request), now, now - next.queued_at,
                    charged_time, false});
    assert(is_new);
    // The hook may call `finish` before it returns, which erases the entry,
    // so it gets a copy of the request.
    const auto request = entry->second.request;
    actions_.dispatch(request);
}

void upstream_owner::record_result(const running& done,
                                   const upstream_report& report,
                                   runtime::time_point now)
{
    const auto elapsed = now - done.started_at;
    queue_.charge(done.request.rank, elapsed - done.charged_time);
    switch (report.outcome) {
    case upstream_outcome::answered:
        consecutive_failures_ = 0;
        limit_.on_success();
        median_service_time_.add(elapsed, now);
        mean_service_time_ +=
            (elapsed - mean_service_time_) / smoothing_divisor;
        break;
    case upstream_outcome::version_unavailable:
        consecutive_failures_ = 0;
        break;
    case upstream_outcome::shed:
        limit_.on_shed(now);
        break;
    case upstream_outcome::not_connected:
        // The upstream's state may have changed while it was unreachable.
        state_known_at_.reset();
        limit_.reset_to_minimum();
        ++consecutive_failures_;
        break;
    case upstream_outcome::broken:
        ++consecutive_failures_;
        break;
    case upstream_outcome::abandoned:
        // The elapsed time is a lower bound of the service time, so it only
        // raises the average.
        mean_service_time_ =
            std::max(mean_service_time_,
                     mean_service_time_ +
                         (elapsed - mean_service_time_) / smoothing_divisor);
        break;
    }
    if (report.versions.high != 0) {
        state_known_at_ = now;
        was_state_known_ = true;
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
        --running_urgent_count_;
    }
    record_result(done, report, now);
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
        send_reply(done.request, std::move(reply));
    }
    if (report.is_draining != is_draining_ &&
        report.outcome != upstream_outcome::not_connected &&
        report.outcome != upstream_outcome::broken &&
        report.outcome != upstream_outcome::abandoned) {
        set_draining(report.is_draining, now);
    }
    process_queue(now);
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
    send_reply(request, std::move(reply));
    actions_.abort(id);
}

void upstream_owner::advance(runtime::time_point now)
{
    std::vector<request_id> overdue;
    for (const auto& [id, entry] : running_) {
        // The reply of a non-idempotent request is awaited beyond the
        // deadline, because it tells whether the request ran.
        if (entry.is_abandoned || !entry.request.is_idempotent ||
            entry.request.deadline > now) {
            continue;
        }
        overdue.push_back(id);
    }
    for (const auto& id : overdue) {
        cancel(id, now);
    }
    process_queue(now);
}

std::optional<runtime::time_point> upstream_owner::next_wakeup() const
{
    auto earliest = queue_.earliest_deadline();
    if (earliest) {
        *earliest -= std::min<runtime::duration>(expected_service_time(),
                                                 earliest->time_since_epoch());
    }
    if (earliest && queue_nonempty_since_ && !state_known_at_) {
        earliest =
            std::min(*earliest, *queue_nonempty_since_ + max_health_wait);
    }
    for (const auto& [id, entry] : running_) {
        if (entry.is_abandoned || !entry.request.is_idempotent) {
            continue;
        }
        const auto due = entry.request.deadline;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

bool upstream_owner::has_current_state(runtime::time_point now) const
{
    return state_known_at_ && now - *state_known_at_ <= max_state_age;
}

void upstream_owner::on_health(const upstream_report& report,
                               runtime::time_point now)
{
    state_known_at_ = now;
    was_state_known_ = true;
    versions_ = report.versions;
    if (report.is_draining != is_draining_) {
        set_draining(report.is_draining, now);
    }
    process_queue(now);
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
    for (auto& entry : queue_.clear()) {
        refuse(entry.request, reason, now - entry.queued_at);
    }
}

void upstream_owner::set_classes(std::span<const priority_class> classes)
{
    queue_.set_classes(classes);
    start_rates_.resize(classes.size());
}

upstream_load upstream_owner::load(class_index rank) const
{
    return {rank,
            expected_queue_delay(rank),
            mean_service_time_,
            versions_,
            is_draining(),
            consecutive_failures_ >= suspect_failures};
}

} // namespace tamarackhoist::policy
