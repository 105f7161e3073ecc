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
                           std::function<void()> over)
    : shared_(std::move(shared)), call_(std::move(call)),
      request_(std::move(request)), started_(shared_->clock.now()),
      deadline_(started_ + request_.remaining), over_(std::move(over)),
      timer_(shared_->io_context), attempts_(request_.targets.size()),
      open_(request_.targets.size()),
      is_gathering_(request_.gather > runtime::duration::zero())
{
}

void relayed_call::start()
{
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        send(index);
    }
    if (is_gathering_) {
        arm_gather_timer();
    }
    close_if_done();
}

void relayed_call::send(std::size_t index)
{
    auto self = shared_from_this();
    const auto& upstream = request_.targets[index].upstream;
    const auto pool = shared_->pool_of(upstream);
    if (pool == nullptr) {
        boost::asio::post(shared_->io_context, [self, index] {
            self->ended(index, {upstreams::forward_status::not_sent, {}});
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
            self->ended(index, std::move(result));
        });
}

void relayed_call::ended(std::size_t index, upstreams::forward_result result)
{
    if (!attempts_[index].is_open) {
        return;
    }
    attempts_[index].is_open = false;
    --open_;
    peers::relay_part part;
    part.shard = request_.targets[index].shard;
    part.elapsed = shared_->clock.now() - started_;
    part.result = classify(result, shared_->fields, true);
    if (part.result != attempt_result::answered) {
        // Another replica can be asked at once; this cannot wait for the rest.
        reply({std::move(part)}, {});
        close_if_done();
        return;
    }
    part.digest = std::string(result.response[shared_->fields.digest]);
    bodies_.push_back(std::move(result.response.body()));
    parts_.push_back(std::move(part));
    if (!is_gathering_) {
        flush();
    }
    close_if_done();
}

void relayed_call::reply(std::vector<peers::relay_part> parts,
                         std::string records)
{
    call_->reply(
        peers::encode_relay_reply({std::move(parts), std::move(records),
                                   shared_->clock.now() - started_}));
}

void relayed_call::arm_gather_timer()
{
    auto self = shared_from_this();
    timer_.expires_after(request_.gather);
    timer_.async_wait([self](boost::system::error_code error) {
        if (!error) {
            self->flush();
        }
    });
}

void relayed_call::flush()
{
    is_gathering_ = false;
    timer_.cancel();
    // An empty reply, too, tells the sender that this node lives.
    const auto bodies = std::exchange(bodies_, {});
    const std::vector<std::string_view> views(bodies.begin(), bodies.end());
    reply(std::exchange(parts_, {}),
          policy::merge_records(views, request_.top_records));
}

void relayed_call::cancel(std::span<const std::uint32_t> shards)
{
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        auto& attempt = attempts_[index];
        const auto shard = request_.targets[index].shard;
        const bool is_meant =
            shards.empty() ||
            std::find(shards.begin(), shards.end(), shard) != shards.end();
        if (!attempt.is_open || !is_meant) {
            continue;
        }
        attempt.is_open = false;
        --open_;
        if (const auto pool = attempt.pool.lock()) {
            pool->cancel(attempt.ticket);
        }
    }
    close_if_done();
}

void relayed_call::close_if_done()
{
    if (open_ > 0 || over_ == nullptr) {
        return;
    }
    if (!parts_.empty()) {
        flush();
    }
    timer_.cancel();
    call_->finish();
    const auto over = std::exchange(over_, nullptr);
    over();
}

} // namespace tamarackhoist::node
