#include <tamarackhoist/policy/order_coordinator.hpp>

#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Time left for a refusal to travel back, so that an order that was never
/// started is reported as not run instead of unknown.
constexpr runtime::duration return_margin = std::chrono::milliseconds(20);
constexpr runtime::duration backoff = std::chrono::milliseconds(10);
constexpr std::uint32_t max_refusals = 16;

} // namespace

order_coordinator::order_coordinator(order wanted, deployment_pointer described,
                                     entry_context& context, hooks actions,
                                     std::uint64_t seed)
    : wanted_(std::move(wanted)), deployment_(std::move(described)),
      context_(context), actions_(std::move(actions)), random_(seed)
{
    assert(actions_.send && actions_.cancel && actions_.settle);
}

void order_coordinator::start(runtime::time_point now)
{
    for (const auto& each : deployment_->shards_of_service(wanted_.service)) {
        if (!each.range.contains(wanted_.position)) {
            continue;
        }
        replicas_ = each.replicas;
    }
    if (replicas_.empty()) {
        report(order_status::not_run,
               "service \"" + wanted_.service + "\" has no shard for the key",
               {});
        return;
    }
    send_next(now);
}

void order_coordinator::send_next(runtime::time_point now)
{
    if (refusals_ >= max_refusals || now >= wanted_.deadline - return_margin) {
        report(order_status::not_run, "no replica took the request in time",
               {});
        return;
    }
    const auto target = context_.directory().choose(
        {replicas_, tried_, std::nullopt, 0, wanted_.rank, now}, random_);
    if (!target) {
        tried_.clear();
        retry_at_ = now + backoff;
        return;
    }
    tried_.push_back(*target);
    target_ = *target;
    pending_ = context_.next_request_id();
    context_.directory().on_sent(*target);

    sub_request request;
    request.id = *pending_;
    request.target = *target;
    request.rank = wanted_.rank;
    request.deadline = wanted_.deadline - return_margin;
    request.range = {wanted_.position, wanted_.position + 1};
    request.is_idempotent = false;
    request.body = std::make_shared<const std::string>(wanted_.body);
    actions_.send(request);
}

void order_coordinator::on_reply(const sub_reply& reply,
                                 runtime::time_point now)
{
    if (!pending_ || reply.id != *pending_) {
        return;
    }
    pending_.reset();
    context_.directory().on_settled(target_);
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
    if (retry_at_ && *retry_at_ <= now) {
        retry_at_.reset();
        ++refusals_;
        send_next(now);
        return;
    }
    if (is_reported_ || now < wanted_.deadline) {
        return;
    }
    if (!pending_) {
        report(order_status::not_run, "no replica took the request in time",
               {});
        return;
    }
    actions_.cancel(target_, *pending_);
    report(order_status::unknown, "no reply before the deadline", {});
}

std::optional<runtime::time_point> order_coordinator::next_timer() const
{
    if (retry_at_) {
        return retry_at_;
    }
    if (is_reported_) {
        return std::nullopt;
    }
    return wanted_.deadline;
}

void order_coordinator::report(order_status status, std::string reason,
                               std::string body)
{
    is_reported_ = true;
    actions_.settle({status, std::move(reason), std::move(body)});
}

} // namespace tamarackhoist::policy
