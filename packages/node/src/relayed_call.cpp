#include "relayed_call.hpp"

#include "forward_message.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <tamarackhoist/policy/record_merge.hpp>

namespace tamarackhoist::node
{

using policy::attempt_result;

relayed_call::relayed_call(std::shared_ptr<forwarding> shared,
                           std::shared_ptr<peers::incoming_call> call,
                           peers::relay_request request,
                           std::function<void()> on_finished)
    : shared_(std::move(shared)), call_(std::move(call)),
      request_(std::move(request)), started_(shared_->clock.now()),
      deadline_(started_ + request_.remaining),
      on_finished_(std::move(on_finished)), timer_(shared_->io_context),
      attempts_(request_.targets.size()),
      open_attempts_(request_.targets.size()),
      is_batching_(request_.gather > runtime::duration::zero())
{
}

void relayed_call::start()
{
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        send(index);
    }
    arm_timer();
    finish_if_done();
}

void relayed_call::send(std::size_t index)
{
    auto self = shared_from_this();
    const auto& upstream = request_.targets[index].upstream;
    const auto pool = shared_->find_pool(upstream);
    if (pool == nullptr) {
        boost::asio::post(shared_->io_context, [self, index] {
            self->handle_result(index,
                                {upstreams::forward_status::not_sent, {}});
        });
        return;
    }
    auto& attempt = attempts_[index];
    attempt.pool = pool;
    attempt.ticket = pool->send(
        request_.priority, upstreams::connection_use::any,
        [self, upstream] {
            return make_forward_request(
                {self->request_.head, self->request_.body,
                 self->request_.request_id},
                upstream, self->deadline_ - self->shared_->clock.now(),
                self->shared_->fields);
        },
        [self, index](upstreams::forward_result result) {
            self->handle_result(index, std::move(result));
        });
}

void relayed_call::handle_result(std::size_t index,
                                 upstreams::forward_result result)
{
    if (!attempts_[index].is_open) {
        return;
    }
    attempts_[index].is_open = false;
    --open_attempts_;
    if (result.status == upstreams::forward_status::withheld) {
        shared_->metrics.count({"tamarackhoist_requests_withheld_total", ""});
    }
    peers::relay_part part;
    part.shard = request_.targets[index].shard;
    part.elapsed = shared_->clock.now() - started_;
    part.result = classify(result, shared_->fields, true);
    part.hold = shared_->directory.find_hold(request_.targets[index].upstream,
                                             shared_->clock.now());
    if (part.result != attempt_result::answered) {
        // A failure is not batched: the calling node can retry on another
        // replica at once.
        send_reply({std::move(part)}, {});
        finish_if_done();
        return;
    }
    part.digest = std::string(result.response[shared_->fields.digest]);
    batched_bodies_.push_back(policy::keep_greatest_records(
        std::move(result.response.body()), request_.top_records));
    batched_parts_.push_back(std::move(part));
    if (!is_batching_) {
        send_batch();
    }
    finish_if_done();
}

void relayed_call::send_reply(std::vector<peers::relay_part> parts,
                              std::string records)
{
    call_->reply(
        peers::encode_relay_reply({std::move(parts), std::move(records),
                                   shared_->clock.now() - started_}));
}

void relayed_call::arm_timer()
{
    auto self = shared_from_this();
    const auto batch_end = started_ + request_.gather;
    timer_.expires_after(runtime::non_negative(
        (is_batching_ ? std::min(batch_end, deadline_) : deadline_) -
        shared_->clock.now()));
    timer_.async_wait([self](boost::system::error_code error) {
        if (!error) {
            self->handle_timer();
        }
    });
}

void relayed_call::handle_timer()
{
    if (shared_->clock.now() >= deadline_) {
        // The calling node cancels earlier than this, unless it has died or
        // cannot be reached any more.
        cancel({});
        return;
    }
    if (is_batching_) {
        send_batch();
    }
    arm_timer();
}

void relayed_call::send_batch()
{
    is_batching_ = false;
    // The reply is sent even if it is empty: it shows the calling node that
    // this node is alive.
    const auto bodies = std::exchange(batched_bodies_, {});
    const std::vector<std::string_view> views(bodies.begin(), bodies.end());
    send_reply(std::exchange(batched_parts_, {}),
               policy::merge_records(views, request_.top_records));
}

void relayed_call::cancel(std::span<const std::uint32_t> shards)
{
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        auto& attempt = attempts_[index];
        const auto shard = request_.targets[index].shard;
        const bool is_selected =
            shards.empty() ||
            std::find(shards.begin(), shards.end(), shard) != shards.end();
        if (!attempt.is_open || !is_selected) {
            continue;
        }
        attempt.is_open = false;
        --open_attempts_;
        if (const auto pool = attempt.pool.lock()) {
            pool->cancel(attempt.ticket);
        }
    }
    finish_if_done();
}

void relayed_call::finish_if_done()
{
    if (open_attempts_ > 0 || on_finished_ == nullptr) {
        return;
    }
    if (!batched_parts_.empty()) {
        send_batch();
    }
    timer_.cancel();
    call_->finish();
    const auto on_finished = std::exchange(on_finished_, nullptr);
    on_finished();
}

} // namespace tamarackhoist::node
