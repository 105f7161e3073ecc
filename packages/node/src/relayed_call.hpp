#ifndef TAMARACKHOIST_NODE_RELAYED_CALL_HPP
#define TAMARACKHOIST_NODE_RELAYED_CALL_HPP

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <tamarackhoist/node/forwarding.hpp>
#include <tamarackhoist/peers/peer_server.hpp>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// One part of another node's fan-out. The first reply batches the answers
/// of a short window, with their records merged. Each later answer is sent in
/// a reply of its own, so that the calling node can discard it.
class relayed_call : public std::enable_shared_from_this<relayed_call>
{
public:
    relayed_call(std::shared_ptr<forwarding> shared,
                 std::shared_ptr<peers::incoming_call> call,
                 peers::relay_request request,
                 std::function<void()> on_finished);

    /// Sends the attempts to the upstreams.
    void start();
    /// Cancels the attempts of `shards`, or of every shard if it is empty.
    void cancel(std::span<const std::uint32_t> shards);

private:
    struct attempt {
        std::weak_ptr<upstreams::forward_pool> pool;
        upstreams::forward_pool::exchange_id ticket = 0;
        bool is_open = true;
    };

    void send(std::size_t index);
    void handle_result(std::size_t index, upstreams::forward_result result);
    /// Waits for the end of the batching window, then for the deadline.
    void arm_timer();
    void handle_timer();
    void send_batch();
    void send_reply(std::vector<peers::relay_part> parts, std::string records);
    void finish_if_done();

    const std::shared_ptr<forwarding> shared_;
    const std::shared_ptr<peers::incoming_call> call_;
    const peers::relay_request request_;
    const runtime::time_point started_;
    const runtime::time_point deadline_;
    std::function<void()> on_finished_;
    boost::asio::steady_timer timer_;
    std::vector<attempt> attempts_;
    std::size_t open_attempts_ = 0;
    std::vector<peers::relay_part> batched_parts_;
    std::vector<std::string> batched_bodies_;
    bool is_batching_ = false;
};

} // namespace tamarackhoist::node

#endif
