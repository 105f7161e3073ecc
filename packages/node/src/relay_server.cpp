#include <tamarackhoist/node/relay_server.hpp>

#include "relayed_call.hpp"
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

relay_server::relay_server(std::shared_ptr<forwarding> shared)
    : shared_(std::move(shared))
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
            const auto running = found->second;
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
    const call_key key{request->sender, request->call};
    const auto running = std::make_shared<relayed_call>(
        shared_, call, std::move(*request), [this, key] { calls_.erase(key); });
    calls_[key] = running;
    running->start();
}

} // namespace tamarackhoist::node
