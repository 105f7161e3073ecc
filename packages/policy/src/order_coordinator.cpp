#include <tamarackhoist/policy/order_coordinator.hpp>

#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Time reserved for a refusal to travel back to the entry node, so that an
/// order that was never started is reported as not run instead of unknown.
constexpr runtime::duration return_margin = std::chrono::milliseconds(20);
constexpr runtime::duration retry_backoff = std::chrono::milliseconds(10);
constexpr std::uint32_t max_refusals = 16;

} // namespace

order_coordinator::order_coordinator(order request, deployment_pointer current,
                                     entry_context& context, hooks actions,
                                     std::uint64_t seed)
    : order_(std::move(request)), deployment_(std::move(current)),
      context_(context), actions_(std::move(actions)), random_(seed)
{
    assert(actions_.send && actions_.cancel && actions_.settle);
}

void order_coordinator::start(runtime::time_point now)
{
    for (const auto& shard : deployment_->shards_of_service(order_.service)) {
        if (!shard.range.contains(order_.position)) {
            continue;
        }
        replicas_ = shard.replicas;
    }
    if (replicas_.empty()) {
        report(order_status::not_run,
               "service \"" + order_.service + "\" has no shard for the key",
               {});
        return;
    }
    send_next(now);
}

void order_coordinator::send_next(runtime::time_point now)
{
    if (refusals_ >= max_refusals || now >= order_.deadline - return_margin) {
        report(order_status::not_run, "no replica took the request in time",
               {});
        return;
    }
    const auto target = context_.directory().choose(
        {replicas_, tried_, std::nullopt, 0, order_.rank, now}, random_);
    if (!target) {
        tried_.clear();
        next_retry_at_ = now + retry_backoff;
        return;
    }
    tried_.push_back(*target);
    target_ = *target;
    pending_request_ = context_.next_request_id();
    context_.directory().on_attempt_sent(*target);

    sub_request request;
    request.id = *pending_request_;
    request.target = *target;
    request.rank = order_.rank;
    request.deadline = order_.deadline - return_margin;
    request.range = {order_.position, order_.position + 1};
    request.is_idempotent = false;
    request.body = std::make_shared<const std::string>(order_.body);
    actions_.send(request);
}

void order_coordinator::on_reply(const sub_reply& reply,
                                 runtime::time_point now)
{
    if (!pending_request_ || reply.id != *pending_request_) {
        return;
    }
    pending_request_.reset();
    context_.directory().on_attempt_ended(target_);
    context_.directory().on_reply(reply, now);
    switch (reply.outcome) {
    case sub_outcome::answered:
        report(order_status::ran, {},
               reply.items.empty() ? std::string() : reply.items.front().value);
        return;
    case sub_outcome::failed:
        report(order_status::unknown, "the reply was lost", {});
        return;
    case sub_outcome::shed:
    case sub_outcome::not_run:
    case sub_outcome::version_unavailable:
        ++refusals_;
        if (is_reported_) {
            report(order_status::not_run, "the upstream did not run it", {});
            return;
        }
        send_next(now);
        return;
    }
}

void order_coordinator::on_timer(runtime::time_point now)
{
    if (next_retry_at_ && *next_retry_at_ <= now) {
        next_retry_at_.reset();
        ++refusals_;
        send_next(now);
        return;
    }
    if (is_reported_ || now < order_.deadline) {
        return;
    }
    if (!pending_request_) {
        report(order_status::not_run, "no replica took the request in time",
               {});
        return;
    }
    actions_.cancel(target_, *pending_request_);
    report(order_status::unknown, "no reply before the deadline", {});
}

std::optional<runtime::time_point> order_coordinator::next_timer() const
{
    if (next_retry_at_) {
        return next_retry_at_;
    }
    if (is_reported_) {
        return std::nullopt;
    }
    return order_.deadline;
}

void order_coordinator::report(order_status status, std::string reason,
                               std::string body)
{
    is_reported_ = true;
    actions_.settle({status, std::move(reason), std::move(body)});
}

} // namespace tamarackhoist::policy
