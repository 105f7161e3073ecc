#include <tamarackhoist/node/relay_server.hpp>

#include "relayed_call.hpp"
#include <tamarackhoist/policy/forward_memory.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

relay_server::relay_server(std::shared_ptr<forwarding> shared,
                           std::size_t max_bytes)
    : shared_(std::move(shared)), max_bytes_(max_bytes)
{
}

relay_server::~relay_server() = default;

void relay_server::handle_call(
    const std::shared_ptr<peers::incoming_call>& call)
{
    if (call->path() == peers::call_path::relay_cancel) {
        call->finish();
        const auto cancel = peers::decode_relay_cancel(call->body());
        const auto found =
            cancel ? calls_.find({cancel->sender, cancel->call}) : calls_.end();
        if (found != calls_.end()) {
            const auto running = found->second.call;
            running->cancel(cancel->shards);
        }
        return;
    }
    auto request = peers::decode_relay_request(call->body());
    if (!request) {
        runtime::log_event(runtime::event_number::peer_message_rejected,
                           "malformed relay request");
        call->finish();
        return;
    }
    const auto bytes = policy::estimate_relay_memory(
        request->targets.size(), request->head.size() + request->body.size());
    if (held_bytes_ > 0 && held_bytes_ + bytes > max_bytes_) {
        refuse(*call, *request);
        return;
    }
    const call_key key{request->sender, request->call};
    const auto running = std::make_shared<relayed_call>(
        shared_, call, std::move(*request), [this, key] { end_call(key); });
    // A call with the number of an earlier one replaces it.
    end_call(key);
    calls_[key] = {running, bytes};
    held_bytes_ += bytes;
    running->start();
}

void relay_server::end_call(call_key key)
{
    const auto found = calls_.find(key);
    if (found != calls_.end()) {
        held_bytes_ -= found->second.bytes;
        calls_.erase(found);
    }
}

void relay_server::refuse(const peers::incoming_call& call,
                          const peers::relay_request& request)
{
    runtime::log_line(runtime::event_number::peer_message_rejected)
        .add("request", request.request_id)
        .add("reason", "too many relayed calls are open");
    peers::relay_reply refusal;
    for (const auto& target : request.targets) {
        peers::relay_part part;
        part.shard = target.shard;
        part.result = policy::attempt_result::not_sent;
        refusal.parts.push_back(std::move(part));
    }
    call.reply(peers::encode_relay_reply(refusal));
    call.finish();
}

} // namespace tamarackhoist::node
