#include "forwarded_request.hpp"

#include <algorithm>

/// The part of a forwarded request that sends attempts through relays.
namespace tamarackhoist::node
{

using policy::attempt_key;
using policy::attempt_result;
using runtime::duration;

namespace
{

/// Batching window of a relay, in tenths of the hedge delay: its first reply
/// must arrive before hedges are sent.
constexpr int batch_window_tenths = 8;
/// Time allowed for a relay's first reply to arrive after its batching window.
constexpr duration relay_reply_margin = std::chrono::milliseconds(12);

} // namespace

void forwarded_request::send_via_relay(
    policy::node_id relay, std::span<const outgoing_attempt> attempts)
{
    const auto now = shared_->clock.now();
    const auto index = relay_calls_.size();
    relay_call call;
    call.started = now;
    call.has_reply_timeout = is_first_batch_;
    peers::relay_request request;
    request.request_id = request_id_;
    request.head = request_head_;
    request.body = exchange_->request().body();
    request.priority = route_.priority;
    request.remaining = runtime::non_negative(times_.deadline - now);
    request.top_records = route_.top_records;
    if (is_first_batch_) {
        // Only the first attempts are batched: once a shard has two attempts,
        // its answers must arrive unmerged so that a duplicate can be dropped.
        request.gather = coordinator_->hedge_delay() * batch_window_tenths / 10;
        arm_relay_timer(request.gather + relay_reply_margin);
    }
    for (const auto& each : attempts) {
        call.keys.push_back(each.key);
        find_attempt(each.key).relay_call = index;
        request.targets.push_back(
            {static_cast<std::uint32_t>(each.key.shard), each.upstream});
    }
    auto self = shared_from_this();
    call.id =
        shared_->relays->call(relay, std::move(request),
                              {[self, index](const peers::relay_reply& reply) {
                                   self->handle_relay_reply(index, reply);
                               },
                               [self, index](bool) {
                                   self->handle_relay_failure(index);
                               }});
    relay_calls_.push_back(std::move(call));
}

void forwarded_request::handle_relay_reply(std::size_t call,
                                           const peers::relay_reply& reply)
{
    auto& replied = relay_calls_[call];
    if (replied.is_closed || coordinator_->is_finished()) {
        return;
    }
    replied.has_replied = true;
    answers_.add(reply);
    const auto now = shared_->clock.now();
    // Round-trip time to the relay, without the time it spent on the call.
    const auto overhead =
        runtime::non_negative(now - replied.started - reply.sent_after);
    const auto keys = replied.keys;
    for (const auto& part : reply.parts) {
        const auto key =
            std::find_if(keys.begin(), keys.end(), [&](attempt_key each) {
                return each.shard == part.shard;
            });
        if (key == keys.end()) {
            continue;
        }
        if (part.hold) {
            shared_->directory.record_hold(coordinator_->upstream_id(*key),
                                           *part.hold, now);
        }
        coordinator_->record_attempt_end(*key, part.result,
                                         part.elapsed + overhead, now);
    }
    apply_decisions();
}

void forwarded_request::handle_relay_failure(std::size_t call)
{
    auto& lost = relay_calls_[call];
    if (std::exchange(lost.is_closed, true) || coordinator_->is_finished()) {
        return;
    }
    // The coordinator ignores attempts that have already ended.
    const auto keys = lost.keys;
    const auto now = shared_->clock.now();
    for (const auto key : keys) {
        coordinator_->record_attempt_end(key, attempt_result::unreachable, now);
    }
    apply_decisions();
}

void forwarded_request::arm_relay_timer(duration delay)
{
    auto self = shared_from_this();
    relay_timer_.expires_after(delay);
    relay_timer_.async_wait([self](boost::system::error_code error) {
        if (!error) {
            self->check_relay_timeouts();
        }
    });
}

void forwarded_request::check_relay_timeouts()
{
    const auto now = shared_->clock.now();
    for (std::size_t call = 0; call < relay_calls_.size(); ++call) {
        const auto& each = relay_calls_[call];
        if (each.is_closed || each.has_replied || !each.has_reply_timeout ||
            coordinator_->is_finished()) {
            continue;
        }
        shared_->relays->report_timeout(each.id, request_id_,
                                        now - each.started);
        shared_->relays->cancel(each.id, {});
        handle_relay_failure(call);
    }
}

} // namespace tamarackhoist::node
