#include <tamarackhoist/node/relay_client.hpp>

#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using runtime::event_number;

relay_client::relay_client(std::string failure_domain, std::uint32_t capacity,
                           std::uint64_t incarnation, runtime::clock clock,
                           policy::domain_reach& reach)
    : directory_(std::move(failure_domain), capacity, incarnation),
      reach_(reach), incarnation_(incarnation), clock_(std::move(clock))
{
}

void relay_client::update_members()
{
    if (peers_ == nullptr) {
        return;
    }
    std::vector<policy::relay_node> nodes;
    for (const auto& each : peers_->live_peers()) {
        nodes.push_back({each.id(), each.failure_domain, each.capacity});
        known_peers_[each.id()] = {each.name, each.failure_domain};
    }
    directory_.set_nodes(nodes);
}

std::optional<policy::node_id>
relay_client::choose_relay(std::string_view domain, std::size_t shards)
{
    return directory_.choose(domain, shards, clock_.now());
}

relay_call_id relay_client::call(policy::node_id peer,
                                 peers::relay_request request,
                                 handlers callbacks)
{
    const relay_call_id id{peer, next_call_++};
    request.sender = incarnation_;
    request.call = id.call;
    const auto shards = request.targets.size();
    directory_.record_call_start(peer, shards);
    peers_->call(
        peer, peers::call_path::relay, peers::encode_relay_request(request),
        [this, peer, on_reply = callbacks.on_reply](std::string_view message) {
            directory_.record_answer(peer, clock_.now());
            reach_.record_contact(known_peers_[peer].failure_domain);
            auto reply = peers::decode_relay_reply(message);
            if (!reply) {
                runtime::log_event(event_number::peer_message_rejected,
                                   "malformed reply of relay " +
                                       known_peers_[peer].name);
                return;
            }
            on_reply(std::move(*reply));
        },
        [this, peer, shards,
         on_end = std::move(callbacks.on_end)](peers::call_end end) {
            directory_.record_call_end(peer, shards);
            const bool is_clean = end == peers::call_end::clean;
            if (!is_clean) {
                record_failure(peer);
            }
            on_end(is_clean);
        });
    return id;
}

void relay_client::cancel(relay_call_id id, std::vector<std::uint32_t> shards)
{
    peers_->call(
        id.peer, peers::call_path::relay_cancel,
        peers::encode_relay_cancel({incarnation_, id.call, std::move(shards)}),
        [](std::string_view) {}, [](peers::call_end) {});
}

void relay_client::record_failure(policy::node_id peer)
{
    directory_.record_failure(peer, clock_.now());
    reach_.record_missed_contact(known_peers_[peer].failure_domain,
                                 clock_.now());
}

void relay_client::report_timeout(relay_call_id id, std::string_view request_id,
                                  runtime::duration waited)
{
    record_failure(id.peer);
    runtime::log_line(event_number::relay_failed)
        .add("request", request_id)
        .add("peer", known_peers_[id.peer].name)
        .add("waited_ms", waited);
}

} // namespace tamarackhoist::node
