#include <tamarackhoist/policy/query_coordinator.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Time left for replies to travel back to the entry node.
constexpr runtime::duration return_margin = std::chrono::milliseconds(3);
constexpr runtime::duration first_backoff = std::chrono::milliseconds(5);
constexpr runtime::duration max_backoff = std::chrono::milliseconds(80);
/// Hedges of one shard, counting those that a busy replica refused.
constexpr std::uint32_t max_hedges = 6;
constexpr std::uint32_t max_restarts = 4;
/// Refusals of one shard, none of which reached an upstream, after which no
/// further replica is asked.
constexpr std::uint32_t max_refusals = 16;
/// Part of the class deadline that a request may wait in a queue before its
/// query counts as congested.
constexpr double congested_fraction = 0.5;

runtime::duration backoff_after(std::uint32_t refusals)
{
    const auto doublings = std::min(refusals, 4U);
    return std::min(max_backoff, first_backoff * (1U << doublings));
}

missing_reason reason_of(refusal reason)
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

query_coordinator::query_coordinator(query wanted, entry_context& context,
                                     hooks actions, std::uint64_t seed)
    : wanted_(std::move(wanted)),
      body_(std::make_shared<const std::string>(wanted_.body)),
      context_(context), actions_(std::move(actions)), random_(seed)
{
}

const priority_class& query_coordinator::rank_description() const
{
    const auto classes = deployment_->classes();
    return classes[std::min(wanted_.rank, classes.size() - 1)];
}

bool query_coordinator::cannot_meet_deadline(runtime::time_point now) const
{
    const auto remaining = wanted_.deadline - return_margin - now;
    std::size_t late = 0;
    for (const auto& each : pieces_) {
        const bool is_late =
            std::ranges::all_of(each.replicas, [&](upstream_id replica) {
                return context_.directory().queue_delay(replica, wanted_.rank,
                                                        now) > remaining;
            });
        late += is_late ? 1 : 0;
    }
    if (rank_description().allows_partial) {
        return !pieces_.empty() && late == pieces_.size();
    }
    return late > 0;
}

void query_coordinator::start(runtime::time_point now)
{
    // Step 1: plan on one deployment and pin the index version.
    deployment_ = actions_.current_deployment();
    version_ = context_.directory().common_version(
        deployment_->shards_of_index(wanted_.index));
    plan(wanted_.ranges);

    // Step 2: refuse before anything is sent.
    auto& admission = context_.admission(wanted_.index, wanted_.rank);
    if (pieces_.empty()) {
        auto answer = make_answer();
        answer.status = query_status::not_run;
        finish(std::move(answer), now);
        return;
    }
    if (cannot_meet_deadline(now) || !admission.try_admit(now)) {
        for (auto& each : pieces_) {
            each.reason = missing_reason::overloaded;
        }
        auto answer = make_answer();
        answer.status = query_status::not_run;
        finish(std::move(answer), now);
        return;
    }
    is_admitted_ = true;

    // Step 3: send the first attempt of every piece.
    send_unsent(now);
    finish_if_done(now);
}

void query_coordinator::plan(const key_range_set& ranges)
{
    const auto shards = deployment_->shards_of_index(wanted_.index);
    for (const auto& range : ranges.ranges()) {
        key_range_set planned;
        for (const auto& each : shards) {
            const auto part = range.intersection(each.range);
            if (part.empty()) {
                continue;
            }
            planned.add(part);
            piece next;
            next.range = part;
            next.replicas = each.replicas;
            pieces_.push_back(std::move(next));
        }
        const auto holes =
            key_range_set(std::span(&range, 1)).difference(planned);
        for (const auto& hole : holes.ranges()) {
            unplanned_.push_back({hole, missing_reason::no_shard});
        }
    }
}

void query_coordinator::send_unsent(runtime::time_point now)
{
    std::vector<sub_request> batch;
    batch.reserve(pieces_.size());
    for (std::size_t position = 0; position < pieces_.size(); ++position) {
        auto& each = pieces_[position];
        const bool is_unsent = each.sent_attempts + each.refusals == 0;
        if (each.is_settled || !is_unsent) {
            continue;
        }
        auto next = make_attempt(position, attempt_kind::first, now);
        if (!next) {
            wait_and_retry(each, now);
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
    auto& each = pieces_[position];
    const auto target = context_.directory().choose(
        {each.replicas, each.tried, each.busy, version_, wanted_.rank, now},
        random_);
    each.busy.reset();
    if (!target) {
        return std::nullopt;
    }
    auto& budgets = context_.budgets(wanted_.rank);
    if (kind == attempt_kind::first) {
        budgets.hedges.deposit();
        budgets.extras.deposit();
    } else {
        ++extra_;
    }
    const auto id = context_.next_request_id();
    const bool is_hedge = kind == attempt_kind::hedge;
    each.tried.push_back(*target);
    ++each.live_attempts;
    ++each.sent_attempts;
    each.retry_at.reset();
    if (!is_hedge) {
        const bool may_hedge =
            rank_description().may_hedge && each.replicas.size() > 1;
        each.hedge_at.reset();
        if (may_hedge && each.hedges < max_hedges) {
            each.hedge_at =
                now + context_.hedge_delay(wanted_.index, wanted_.rank);
        }
    }
    attempts_[id] = {position, *target, now, is_hedge};
    context_.directory().on_sent(*target);

    sub_request request;
    request.id = id;
    request.target = *target;
    request.rank = wanted_.rank;
    request.deadline = wanted_.deadline - return_margin;
    request.range = each.range;
    request.version = version_;
    request.is_hedge = is_hedge;
    request.may_redirect = kind == attempt_kind::first && wanted_.rank == 0 &&
                           each.refusals == 0 && each.replicas.size() > 1;
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
    settle(ended);
    context_.directory().on_reply(reply, now);
    auto& each = pieces_[ended.piece_position];
    --each.live_attempts;
    note_congestion(reply, now);
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
            on_version_unavailable(ended.piece_position, reply, now);
            break;
        }
        latencies_.push_back(now - ended.sent_at);
        accept(ended.piece_position, reply);
        drop_attempts_of(ended.piece_position, now);
        replan_rest(ended.piece_position, now);
        break;
    case sub_outcome::version_unavailable:
        on_version_unavailable(ended.piece_position, reply, now);
        break;
    case sub_outcome::not_run:
        if (ended.is_hedge) {
            // The hedge reached no upstream: its tokens are given back.
            auto& budgets = context_.budgets(wanted_.rank);
            budgets.hedges.give_back();
            budgets.extras.give_back();
            --extra_;
            rearm_hedge(each, ended.target, now);
        }
        on_not_run(ended.piece_position, reply, now);
        break;
    case sub_outcome::shed:
        each.reason = missing_reason::overloaded;
        try_again(ended.piece_position, now);
        break;
    case sub_outcome::failed:
        each.reason = missing_reason::lost_reply;
        try_again(ended.piece_position, now);
        break;
    }
    finish_if_done(now);
}

void query_coordinator::note_congestion(const sub_reply& reply,
                                        runtime::time_point now)
{
    if (is_congested_) {
        return;
    }
    const auto allowed_wait = runtime::from_seconds(
        congested_fraction * runtime::to_seconds(rank_description().deadline));
    is_congested_ = reply.load.queue_delay > allowed_wait ||
                    reply.outcome == sub_outcome::shed ||
                    reply.reason == refusal::no_time ||
                    reply.reason == refusal::queue_full;
    if (is_congested_) {
        // Told at once: by the time the query ends, many more have started.
        context_.admission(wanted_.index, wanted_.rank).on_congestion(now);
    }
}

void query_coordinator::accept(std::size_t position, const sub_reply& reply)
{
    auto& each = pieces_[position];
    // Step 5: only keys that were asked of this shard and are not answered
    // yet count, so that no key counts twice.
    const auto fresh =
        reply.covered.intersection(each.range).difference(answered_);
    for (const auto& item : reply.items) {
        if (!fresh.contains(item.position)) {
            continue;
        }
        items_.push_back(item);
    }
    answered_.add(fresh);
    each.is_settled = true;
}

void query_coordinator::replan_rest(std::size_t position,
                                    runtime::time_point now)
{
    const auto range = pieces_[position].range;
    const auto rest = key_range_set(std::span(&range, 1)).difference(answered_);
    if (rest.empty()) {
        return;
    }
    // The shard was split or moved: the rest is planned again on the
    // deployment now in force.
    const auto refusals = pieces_[position].refusals + 1;
    const auto first_new = pieces_.size();
    deployment_ = actions_.current_deployment();
    plan(rest);
    for (auto next = first_new; next < pieces_.size(); ++next) {
        auto& each = pieces_[next];
        each.refusals = refusals;
        each.reason = missing_reason::moved;
        if (refusals > max_refusals) {
            continue;
        }
        each.retry_at = refusals == 1 ? now : now + backoff_after(refusals);
    }
    on_timer(now);
}

void query_coordinator::on_version_unavailable(std::size_t position,
                                               const sub_reply& reply,
                                               runtime::time_point now)
{
    auto& each = pieces_[position];
    each.reason = missing_reason::version_unavailable;
    const auto serves_pinned = [&](upstream_id replica) {
        return replica != reply.source &&
               std::ranges::find(each.tried, replica) == each.tried.end() &&
               context_.directory().versions(replica).contains(version_);
    };
    if (std::ranges::any_of(each.replicas, serves_pinned)) {
        try_again(position, now);
        return;
    }
    // Step 6: no replica of this shard serves the pinned version any more.
    const auto common = context_.directory().common_version(
        deployment_->shards_of_index(wanted_.index));
    if (common != 0 && common != version_ && restarts_ < max_restarts) {
        restart_with(common, now);
        return;
    }
    wait_and_retry(each, now);
}

void query_coordinator::restart_with(index_version version,
                                     runtime::time_point now)
{
    ++restarts_;
    for (std::size_t position = 0; position < pieces_.size(); ++position) {
        drop_attempts_of(position, now);
    }
    pieces_.clear();
    unplanned_.clear();
    items_.clear();
    answered_ = {};
    version_ = version;
    deployment_ = actions_.current_deployment();
    plan(wanted_.ranges);
    send_unsent(now);
}

void query_coordinator::rearm_hedge(piece& each, upstream_id refused_by,
                                    runtime::time_point now)
{
    // A replica that was busy a moment ago may have a free slot later, while
    // the first attempt still waits. The growing pauses spread the few hedges
    // over most of the time that an urgent query has.
    const bool is_waiting = !each.is_settled && each.live_attempts > 0;
    if (!is_waiting || each.hedges >= max_hedges) {
        return;
    }
    std::erase(each.tried, refused_by);
    each.hedge_at = now + backoff_after(each.hedges - 1);
}

void query_coordinator::on_not_run(std::size_t position, const sub_reply& reply,
                                   runtime::time_point now)
{
    auto& each = pieces_[position];
    --each.sent_attempts;
    ++each.refusals;
    each.reason = reason_of(reply.reason);
    if (each.is_settled || each.live_attempts > 0) {
        return;
    }
    const bool is_overload =
        reply.reason == refusal::no_time || reply.reason == refusal::queue_full;
    each.overloads += is_overload ? 1 : 0;
    if (each.refusals > max_refusals) {
        return;
    }
    if (reply.reason == refusal::busy) {
        // The busy replica stays a candidate: its queue may still be better
        // than another replica that is slow.
        std::erase(each.tried, reply.source);
        each.busy = reply.source;
    }
    auto next = make_attempt(position, attempt_kind::first, now);
    if (!next && each.overloads >= each.replicas.size()) {
        // Every replica lacks the time now, and there will be less later.
        each.is_given_up = true;
        return;
    }
    if (!next) {
        wait_and_retry(each, now);
        return;
    }
    actions_.send(std::span(&*next, 1));
}

void query_coordinator::try_again(std::size_t position, runtime::time_point now)
{
    auto& each = pieces_[position];
    const auto& rank = rank_description();
    if (each.is_settled || each.live_attempts > 0) {
        return;
    }
    if (each.sent_attempts >= rank.max_attempts ||
        !context_.budgets(wanted_.rank).extras.try_withdraw()) {
        return;
    }
    auto next = make_attempt(position, attempt_kind::retry, now);
    if (!next) {
        context_.budgets(wanted_.rank).extras.give_back();
        wait_and_retry(each, now);
        return;
    }
    actions_.send(std::span(&*next, 1));
}

void query_coordinator::wait_and_retry(piece& each, runtime::time_point now)
{
    ++each.refusals;
    if (each.refusals > max_refusals) {
        return;
    }
    each.tried.clear();
    each.overloads = 0;
    each.retry_at = now + backoff_after(each.refusals);
}

void query_coordinator::on_timer(runtime::time_point now)
{
    if (is_complete_) {
        return;
    }
    if (now >= wanted_.deadline) {
        finish(make_answer(), now);
        return;
    }
    std::vector<sub_request> batch;
    for (std::size_t position = 0; position < pieces_.size(); ++position) {
        auto& each = pieces_[position];
        if (each.is_settled) {
            continue;
        }
        if (each.retry_at && *each.retry_at <= now) {
            each.retry_at.reset();
            // A piece whose earlier attempt may have reached an upstream
            // spends from the budget; one that was only refused does not.
            auto kind = attempt_kind::first;
            if (each.sent_attempts > 0) {
                if (!context_.budgets(wanted_.rank).extras.try_withdraw()) {
                    continue;
                }
                kind = attempt_kind::retry;
            }
            auto next = make_attempt(position, kind, now);
            if (!next) {
                wait_and_retry(each, now);
                continue;
            }
            batch.push_back(std::move(*next));
            continue;
        }
        // A hedge accompanies an attempt; without one, the piece is tried
        // again as usual.
        if (!each.hedge_at || *each.hedge_at > now || each.live_attempts == 0) {
            continue;
        }
        each.hedge_at.reset();
        ++each.hedges;
        auto& budgets = context_.budgets(wanted_.rank);
        if (!budgets.hedges.try_withdraw()) {
            continue;
        }
        if (!budgets.extras.try_withdraw()) {
            budgets.hedges.give_back();
            continue;
        }
        auto next = make_attempt(position, attempt_kind::hedge, now);
        if (!next) {
            budgets.hedges.give_back();
            budgets.extras.give_back();
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
    auto earliest = wanted_.deadline;
    for (const auto& each : pieces_) {
        if (each.is_settled) {
            continue;
        }
        if (each.hedge_at && each.live_attempts > 0) {
            earliest = std::min(earliest, *each.hedge_at);
        }
        if (each.retry_at) {
            earliest = std::min(earliest, *each.retry_at);
        }
    }
    return earliest;
}

void query_coordinator::settle(const attempt& ended)
{
    context_.directory().on_settled(ended.target);
}

void query_coordinator::drop_attempts_of(std::size_t position,
                                         runtime::time_point now)
{
    if (pieces_[position].live_attempts == 0) {
        return;
    }
    std::vector<request_id> dropped;
    for (const auto& [id, each] : attempts_) {
        if (each.piece_position != position) {
            continue;
        }
        dropped.push_back(id);
    }
    std::ranges::sort(dropped);
    for (const auto& id : dropped) {
        const auto each = attempts_.at(id);
        attempts_.erase(id);
        settle(each);
        may_have_run_ = true;
        context_.directory().on_silence(each.target, now - each.sent_at, now);
        actions_.cancel(each.target, id);
    }
    pieces_[position].live_attempts = 0;
}

void query_coordinator::finish_if_done(runtime::time_point now)
{
    if (is_complete_) {
        return;
    }
    const auto is_over = [](const piece& each) {
        return each.is_settled || (each.live_attempts == 0 && !each.retry_at);
    };
    // Where only a whole answer counts, one shard that cannot be answered
    // ends the query, so that the others do no more work for it.
    const bool is_lost = !rank_description().allows_partial &&
                         std::ranges::any_of(pieces_, &piece::is_given_up);
    if (!is_lost && !std::ranges::all_of(pieces_, is_over)) {
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
    answer.missing = unplanned_;
    for (const auto& each : pieces_) {
        if (each.is_settled) {
            continue;
        }
        const auto rest =
            key_range_set(std::span(&each.range, 1)).difference(answered_);
        for (const auto& range : rest.ranges()) {
            answer.missing.push_back({range, each.reason});
        }
    }
    answer.items = items_;
    answer.extra_attempts = extra_;
    const bool has_live_attempts = !attempts_.empty();
    if (answer.missing.empty()) {
        answer.status = query_status::complete;
    } else if (!answered_.empty() && rank_description().allows_partial) {
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
        context_.admission(wanted_.index, wanted_.rank)
            .on_finished(has_results, now);
        context_.record_latencies(wanted_.index, wanted_.rank, latencies_, now);
    }
    for (std::size_t position = 0; position < pieces_.size(); ++position) {
        drop_attempts_of(position, now);
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
