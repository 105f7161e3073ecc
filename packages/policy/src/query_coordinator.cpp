#include <tamarackhoist/policy/query_coordinator.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Time reserved for a reply to travel back to the entry node.
constexpr runtime::duration return_margin = std::chrono::milliseconds(3);
constexpr runtime::duration initial_backoff = std::chrono::milliseconds(5);
constexpr runtime::duration max_backoff = std::chrono::milliseconds(80);
/// Maximum hedges for one shard, including those that a busy replica refused.
constexpr std::uint32_t max_hedges = 6;
constexpr std::uint32_t max_restarts = 4;
/// Maximum attempts for one shard that were refused before they reached an
/// upstream; after more of them, the shard is not tried again.
constexpr std::uint32_t max_refusals = 16;
/// Fraction of the class deadline. A query counts as congested when the queue
/// delay of one of its upstreams is longer than this.
constexpr double max_queue_delay_fraction = 0.5;

runtime::duration backoff_time(std::uint32_t refusals)
{
    const auto doublings = std::min(refusals, 4U);
    return std::min(max_backoff, initial_backoff * (1U << doublings));
}

missing_reason to_missing_reason(refusal reason)
{
    switch (reason) {
    case refusal::draining:
    case refusal::node_leaving:
        return missing_reason::draining;
    case refusal::not_connected:
    case refusal::not_owner:
    case refusal::node_resumed:
        return missing_reason::not_connected;
    case refusal::none:
    case refusal::no_time:
    case refusal::busy:
    case refusal::cancelled:
    case refusal::queue_full:
        return missing_reason::overloaded;
    }
    return missing_reason::overloaded;
}

} // namespace

query_coordinator::query_coordinator(query request, entry_context& context,
                                     hooks actions, std::uint64_t seed)
    : query_(std::move(request)),
      body_(std::make_shared<const std::string>(query_.body)),
      context_(context), actions_(std::move(actions)), random_(seed)
{
}

const priority_class& query_coordinator::request_class() const
{
    const auto classes = deployment_->classes();
    return classes[std::min(query_.rank, classes.size() - 1)];
}

bool query_coordinator::cannot_meet_deadline(runtime::time_point now) const
{
    const auto remaining = query_.deadline - return_margin - now;
    std::size_t late_parts = 0;
    for (const auto& part : parts_) {
        const bool lacks_time =
            std::ranges::all_of(part.replicas, [&](upstream_id replica) {
                return context_.directory().queue_delay(replica, query_.rank,
                                                        now) > remaining;
            });
        late_parts += lacks_time ? 1 : 0;
    }
    if (request_class().allows_partial) {
        return !parts_.empty() && late_parts == parts_.size();
    }
    return late_parts > 0;
}

void query_coordinator::start(runtime::time_point now)
{
    // Step 1: plan on one deployment and pin the index version.
    deployment_ = actions_.current_deployment();
    version_ = context_.directory().common_version(
        deployment_->shards_of_index(query_.index));
    plan(query_.ranges);

    // Step 2: refuse before anything is sent.
    auto& admission = context_.admission(query_.index, query_.rank);
    if (parts_.empty()) {
        auto answer = make_answer();
        answer.status = query_status::not_run;
        finish(std::move(answer), now);
        return;
    }
    if (cannot_meet_deadline(now) || !admission.try_admit(now)) {
        for (auto& part : parts_) {
            part.reason = missing_reason::overloaded;
        }
        auto answer = make_answer();
        answer.status = query_status::not_run;
        finish(std::move(answer), now);
        return;
    }
    is_admitted_ = true;

    // Step 3: send the first attempt for every shard.
    send_first_attempts(now);
    finish_if_done(now);
}

void query_coordinator::plan(const key_range_set& ranges)
{
    const auto shards = deployment_->shards_of_index(query_.index);
    for (const auto& range : ranges.ranges()) {
        key_range_set planned;
        for (const auto& shard : shards) {
            const auto overlap = range.intersection(shard.range);
            if (overlap.empty()) {
                continue;
            }
            planned.add(overlap);
            shard_part added;
            added.range = overlap;
            added.replicas = shard.replicas;
            parts_.push_back(std::move(added));
        }
        const auto gaps =
            key_range_set(std::span(&range, 1)).difference(planned);
        for (const auto& gap : gaps.ranges()) {
            ranges_without_shard_.push_back({gap, missing_reason::no_shard});
        }
    }
}

void query_coordinator::send_first_attempts(runtime::time_point now)
{
    std::vector<sub_request> batch;
    batch.reserve(parts_.size());
    for (std::size_t position = 0; position < parts_.size(); ++position) {
        auto& part = parts_[position];
        const bool is_unsent = part.sent_attempts + part.refusals == 0;
        if (part.is_answered || !is_unsent) {
            continue;
        }
        auto next = make_attempt(position, attempt_kind::first, now);
        if (!next) {
            schedule_retry(part, now);
            continue;
        }
        batch.push_back(std::move(*next));
    }
    if (!batch.empty()) {
        actions_.send(batch);
    }
}

std::optional<sub_request>
query_coordinator::make_attempt(std::size_t position, attempt_kind kind,
                                runtime::time_point now)
{
    auto& part = parts_[position];
    const auto target = context_.directory().choose(
        {part.replicas, part.tried, part.busy_replica, version_, query_.rank,
         now},
        random_);
    part.busy_replica.reset();
    if (!target) {
        return std::nullopt;
    }
    auto& budgets = context_.budgets(query_.rank);
    if (kind == attempt_kind::first) {
        budgets.hedges.deposit();
        budgets.extra_attempts.deposit();
    } else {
        ++extra_attempts_;
    }
    const auto id = context_.next_request_id();
    const bool is_hedge = kind == attempt_kind::hedge;
    part.tried.push_back(*target);
    ++part.live_attempts;
    ++part.sent_attempts;
    part.next_retry_at.reset();
    if (!is_hedge) {
        const bool may_hedge =
            request_class().may_hedge && part.replicas.size() > 1;
        part.next_hedge_at.reset();
        if (may_hedge && part.hedges < max_hedges) {
            part.next_hedge_at =
                now + context_.hedge_delay(query_.index, query_.rank);
        }
    }
    attempts_[id] = {position, *target, now, is_hedge};
    context_.directory().on_attempt_sent(*target);

    sub_request request;
    request.id = id;
    request.target = *target;
    request.rank = query_.rank;
    request.deadline = query_.deadline - return_margin;
    request.range = part.range;
    request.version = version_;
    request.is_hedge = is_hedge;
    request.may_redirect = kind == attempt_kind::first && query_.rank == 0 &&
                           part.refusals == 0 && part.replicas.size() > 1;
    request.body = body_;
    return request;
}

void query_coordinator::on_reply(const sub_reply& reply,
                                 runtime::time_point now)
{
    const auto found = attempts_.find(reply.id);
    if (is_complete_ || found == attempts_.end()) {
        return;
    }
    const auto ended = found->second;
    attempts_.erase(found);
    release_attempt(ended);
    context_.directory().on_reply(reply, now);
    auto& part = parts_[ended.part_position];
    --part.live_attempts;
    detect_congestion(reply, now);
    if (reply.outcome != sub_outcome::not_run) {
        may_have_run_ = true;
    }
    switch (reply.outcome) {
    case sub_outcome::answered:
        if (version_ == 0) {
            version_ = reply.version;
        }
        // Step 4: an answer of another version is never mixed in.
        if (reply.version != version_) {
            on_version_unavailable(ended.part_position, reply, now);
            break;
        }
        latencies_.push_back(now - ended.sent_at);
        accept_answer(ended.part_position, reply);
        cancel_attempts(ended.part_position, now);
        replan_unanswered(ended.part_position, now);
        break;
    case sub_outcome::version_unavailable:
        on_version_unavailable(ended.part_position, reply, now);
        break;
    case sub_outcome::not_run:
        if (ended.is_hedge) {
            // The hedge reached no upstream, so its budget is refunded.
            auto& budgets = context_.budgets(query_.rank);
            budgets.hedges.refund();
            budgets.extra_attempts.refund();
            --extra_attempts_;
            reschedule_hedge(part, ended.target, now);
        }
        on_not_run(ended.part_position, reply, now);
        break;
    case sub_outcome::shed:
        part.reason = missing_reason::overloaded;
        retry_now(ended.part_position, now);
        break;
    case sub_outcome::failed:
        part.reason = missing_reason::lost_reply;
        retry_now(ended.part_position, now);
        break;
    }
    finish_if_done(now);
}

void query_coordinator::detect_congestion(const sub_reply& reply,
                                          runtime::time_point now)
{
    if (is_congested_) {
        return;
    }
    const auto max_queue_delay =
        runtime::from_seconds(max_queue_delay_fraction *
                              runtime::to_seconds(request_class().deadline));
    is_congested_ = reply.load.queue_delay > max_queue_delay ||
                    reply.outcome == sub_outcome::shed ||
                    reply.reason == refusal::no_time ||
                    reply.reason == refusal::queue_full;
    if (is_congested_) {
        // Reported at once: by the time the query ends, many more queries
        // have started.
        context_.admission(query_.index, query_.rank).on_congestion(now);
    }
}

void query_coordinator::accept_answer(std::size_t position,
                                      const sub_reply& reply)
{
    auto& part = parts_[position];
    // Step 5: ignore keys that were not requested from this shard or are
    // already answered, so that no key is counted twice.
    const auto fresh =
        reply.covered.intersection(part.range).difference(answered_);
    for (const auto& item : reply.items) {
        if (!fresh.contains(item.position)) {
            continue;
        }
        items_.push_back(item);
    }
    answered_.add(fresh);
    part.is_answered = true;
}

void query_coordinator::replan_unanswered(std::size_t position,
                                          runtime::time_point now)
{
    const auto range = parts_[position].range;
    const auto rest = key_range_set(std::span(&range, 1)).difference(answered_);
    if (rest.empty()) {
        return;
    }
    // The shard was split or moved: plan the unanswered keys again on the
    // current deployment.
    const auto refusals = parts_[position].refusals + 1;
    const auto first_new = parts_.size();
    deployment_ = actions_.current_deployment();
    plan(rest);
    for (auto next = first_new; next < parts_.size(); ++next) {
        auto& part = parts_[next];
        part.refusals = refusals;
        part.reason = missing_reason::moved;
        if (refusals > max_refusals) {
            continue;
        }
        part.next_retry_at = refusals == 1 ? now : now + backoff_time(refusals);
    }
    on_timer(now);
}

void query_coordinator::on_version_unavailable(std::size_t position,
                                               const sub_reply& reply,
                                               runtime::time_point now)
{
    auto& part = parts_[position];
    part.reason = missing_reason::version_unavailable;
    const auto serves_pinned = [&](upstream_id replica) {
        return replica != reply.source &&
               std::ranges::find(part.tried, replica) == part.tried.end() &&
               context_.directory().versions(replica).contains(version_);
    };
    if (std::ranges::any_of(part.replicas, serves_pinned)) {
        retry_now(position, now);
        return;
    }
    // Step 6: no untried replica of this shard serves the pinned version, so
    // the whole query restarts on a version that all shards serve.
    const auto common = context_.directory().common_version(
        deployment_->shards_of_index(query_.index));
    if (common != 0 && common != version_ && restarts_ < max_restarts) {
        restart_with_version(common, now);
        return;
    }
    schedule_retry(part, now);
}

void query_coordinator::restart_with_version(index_version version,
                                             runtime::time_point now)
{
    ++restarts_;
    for (std::size_t position = 0; position < parts_.size(); ++position) {
        cancel_attempts(position, now);
    }
    parts_.clear();
    ranges_without_shard_.clear();
    items_.clear();
    answered_ = {};
    version_ = version;
    deployment_ = actions_.current_deployment();
    plan(query_.ranges);
    send_first_attempts(now);
}

void query_coordinator::reschedule_hedge(shard_part& part,
                                         upstream_id refused_by,
                                         runtime::time_point now)
{
    // A replica that refused as busy may have a free slot later, while the
    // first attempt is still queued. The exponential back-off spreads the
    // limited number of hedges over most of the deadline of an urgent query.
    const bool is_waiting = !part.is_answered && part.live_attempts > 0;
    if (!is_waiting || part.hedges >= max_hedges) {
        return;
    }
    std::erase(part.tried, refused_by);
    part.next_hedge_at = now + backoff_time(part.hedges - 1);
}

void query_coordinator::on_not_run(std::size_t position, const sub_reply& reply,
                                   runtime::time_point now)
{
    auto& part = parts_[position];
    --part.sent_attempts;
    ++part.refusals;
    part.reason = to_missing_reason(reply.reason);
    if (part.is_answered || part.live_attempts > 0) {
        return;
    }
    const bool is_overload =
        reply.reason == refusal::no_time || reply.reason == refusal::queue_full;
    part.overload_refusals += is_overload ? 1 : 0;
    if (part.refusals > max_refusals) {
        return;
    }
    if (reply.reason == refusal::busy) {
        // The busy replica stays a candidate: waiting in its queue may be
        // faster than asking a slow replica.
        std::erase(part.tried, reply.source);
        part.busy_replica = reply.source;
    }
    auto next = make_attempt(position, attempt_kind::first, now);
    if (!next && part.overload_refusals >= part.replicas.size()) {
        // Every replica refused because too little time is left, and later
        // there is even less.
        part.is_given_up = true;
        return;
    }
    if (!next) {
        schedule_retry(part, now);
        return;
    }
    actions_.send(std::span(&*next, 1));
}

void query_coordinator::retry_now(std::size_t position, runtime::time_point now)
{
    auto& part = parts_[position];
    const auto& settings = request_class();
    if (part.is_answered || part.live_attempts > 0) {
        return;
    }
    if (part.sent_attempts >= settings.max_attempts ||
        !context_.budgets(query_.rank).extra_attempts.try_withdraw()) {
        return;
    }
    auto next = make_attempt(position, attempt_kind::retry, now);
    if (!next) {
        context_.budgets(query_.rank).extra_attempts.refund();
        schedule_retry(part, now);
        return;
    }
    actions_.send(std::span(&*next, 1));
}

void query_coordinator::schedule_retry(shard_part& part,
                                       runtime::time_point now)
{
    ++part.refusals;
    if (part.refusals > max_refusals) {
        return;
    }
    part.tried.clear();
    part.overload_refusals = 0;
    part.next_retry_at = now + backoff_time(part.refusals);
}

void query_coordinator::on_timer(runtime::time_point now)
{
    if (is_complete_) {
        return;
    }
    if (now >= query_.deadline) {
        finish(make_answer(), now);
        return;
    }
    std::vector<sub_request> batch;
    for (std::size_t position = 0; position < parts_.size(); ++position) {
        auto& part = parts_[position];
        if (part.is_answered) {
            continue;
        }
        if (part.next_retry_at && *part.next_retry_at <= now) {
            part.next_retry_at.reset();
            // A retry costs budget only when an earlier attempt for the shard
            // may have reached an upstream, not when all were refused.
            auto kind = attempt_kind::first;
            if (part.sent_attempts > 0) {
                if (!context_.budgets(query_.rank)
                         .extra_attempts.try_withdraw()) {
                    continue;
                }
                kind = attempt_kind::retry;
            }
            auto next = make_attempt(position, kind, now);
            if (!next) {
                schedule_retry(part, now);
                continue;
            }
            batch.push_back(std::move(*next));
            continue;
        }
        // A hedge is sent only while another attempt is in flight; otherwise
        // the shard is retried.
        if (!part.next_hedge_at || *part.next_hedge_at > now ||
            part.live_attempts == 0) {
            continue;
        }
        part.next_hedge_at.reset();
        ++part.hedges;
        auto& budgets = context_.budgets(query_.rank);
        if (!budgets.hedges.try_withdraw()) {
            continue;
        }
        if (!budgets.extra_attempts.try_withdraw()) {
            budgets.hedges.refund();
            continue;
        }
        auto next = make_attempt(position, attempt_kind::hedge, now);
        if (!next) {
            budgets.hedges.refund();
            budgets.extra_attempts.refund();
            continue;
        }
        batch.push_back(std::move(*next));
    }
    if (!batch.empty()) {
        actions_.send(batch);
    }
    finish_if_done(now);
}

std::optional<runtime::time_point> query_coordinator::next_timer() const
{
    if (is_complete_) {
        return std::nullopt;
    }
    auto earliest = query_.deadline;
    for (const auto& part : parts_) {
        if (part.is_answered) {
            continue;
        }
        if (part.next_hedge_at && part.live_attempts > 0) {
            earliest = std::min(earliest, *part.next_hedge_at);
        }
        if (part.next_retry_at) {
            earliest = std::min(earliest, *part.next_retry_at);
        }
    }
    return earliest;
}

void query_coordinator::release_attempt(const attempt& ended)
{
    context_.directory().on_attempt_ended(ended.target);
}

void query_coordinator::cancel_attempts(std::size_t position,
                                        runtime::time_point now)
{
    if (parts_[position].live_attempts == 0) {
        return;
    }
    std::vector<request_id> cancelled_ids;
    for (const auto& [id, running] : attempts_) {
        if (running.part_position != position) {
            continue;
        }
        cancelled_ids.push_back(id);
    }
    std::ranges::sort(cancelled_ids);
    for (const auto& id : cancelled_ids) {
        const auto cancelled = attempts_.at(id);
        attempts_.erase(id);
        release_attempt(cancelled);
        may_have_run_ = true;
        context_.directory().on_no_reply(cancelled.target,
                                         now - cancelled.sent_at, now);
        actions_.cancel(cancelled.target, id);
    }
    parts_[position].live_attempts = 0;
}

void query_coordinator::finish_if_done(runtime::time_point now)
{
    if (is_complete_) {
        return;
    }
    const auto is_done = [](const shard_part& part) {
        return part.is_answered ||
               (part.live_attempts == 0 && !part.next_retry_at);
    };
    // When the class does not allow partial answers, one shard that cannot
    // be answered ends the query, so that no more work is done for the rest.
    const bool cannot_complete =
        !request_class().allows_partial &&
        std::ranges::any_of(parts_, &shard_part::is_given_up);
    if (!cannot_complete && !std::ranges::all_of(parts_, is_done)) {
        return;
    }
    finish(make_answer(), now);
}

query_answer query_coordinator::make_answer() const
{
    query_answer answer;
    answer.version = version_;
    answer.epoch = deployment_->epoch();
    answer.answered = answered_;
    answer.missing = ranges_without_shard_;
    for (const auto& part : parts_) {
        if (part.is_answered) {
            continue;
        }
        const auto rest =
            key_range_set(std::span(&part.range, 1)).difference(answered_);
        for (const auto& range : rest.ranges()) {
            answer.missing.push_back({range, part.reason});
        }
    }
    answer.items = items_;
    answer.extra_attempts = extra_attempts_;
    const bool has_live_attempts = !attempts_.empty();
    if (answer.missing.empty()) {
        answer.status = query_status::complete;
    } else if (!answered_.empty() && request_class().allows_partial) {
        answer.status = query_status::partial;
    } else if (may_have_run_ || has_live_attempts) {
        answer.status = query_status::failed;
    } else {
        answer.status = query_status::not_run;
    }
    const bool has_results = answer.status == query_status::complete ||
                             answer.status == query_status::partial;
    if (!has_results) {
        for (const auto& range : answered_.ranges()) {
            answer.missing.push_back({range, missing_reason::withheld});
        }
        answer.answered = {};
        answer.items.clear();
    }
    return answer;
}

void query_coordinator::finish(query_answer answer, runtime::time_point now)
{
    is_complete_ = true;
    if (is_admitted_) {
        const bool has_results = answer.status == query_status::complete ||
                                 answer.status == query_status::partial;
        context_.admission(query_.index, query_.rank)
            .on_finished(has_results, now);
        context_.record_latencies(query_.index, query_.rank, latencies_, now);
    }
    for (std::size_t position = 0; position < parts_.size(); ++position) {
        cancel_attempts(position, now);
    }
    actions_.complete(std::move(answer));
}

query_coordinator::builder& query_coordinator::builder::for_query(query value)
{
    query_ = std::move(value);
    return *this;
}

query_coordinator::builder&
query_coordinator::builder::with_context(entry_context& value)
{
    context_ = &value;
    return *this;
}

query_coordinator::builder& query_coordinator::builder::with_hooks(hooks value)
{
    hooks_ = std::move(value);
    return *this;
}

query_coordinator::builder&
query_coordinator::builder::with_seed(std::uint64_t value)
{
    seed_ = value;
    return *this;
}

std::unique_ptr<query_coordinator> query_coordinator::builder::build()
{
    assert(context_ != nullptr);
    assert(hooks_.send && hooks_.cancel && hooks_.complete &&
           hooks_.current_deployment);
    return std::unique_ptr<query_coordinator>(new query_coordinator(
        std::move(query_), *context_, std::move(hooks_), seed_));
}

} // namespace tamarackhoist::policy
