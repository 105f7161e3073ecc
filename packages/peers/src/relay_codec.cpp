#include <tamarackhoist/peers/relay_codec.hpp>

#include "codec_support.hpp"
#include <peer_messages.pb.h>
#include <tamarackhoist/peers/gossip_message.hpp>

namespace tamarackhoist::peers
{

std::string encode_relay_request(const relay_request& request)
{
    wire::RelayRequest encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_sender(request.sender);
    encoded.set_call(request.call);
    encoded.set_request_id(request.request_id);
    encoded.set_head(request.head);
    encoded.set_body(request.body);
    encoded.set_priority(request.priority);
    encoded.set_remaining_us(to_microseconds(request.remaining));
    for (const auto& source : request.targets) {
        auto* target = encoded.add_targets();
        target->set_shard(source.shard);
        target->set_upstream(source.upstream);
    }
    encoded.set_top_records(static_cast<std::uint32_t>(request.top_records));
    encoded.set_gather_us(to_microseconds(request.gather));
    return encoded.SerializeAsString();
}

std::optional<relay_request> decode_relay_request(std::string_view message)
{
    wire::RelayRequest encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    relay_request request;
    request.sender = encoded.sender();
    request.call = encoded.call();
    request.request_id = std::move(*encoded.mutable_request_id());
    request.head = std::move(*encoded.mutable_head());
    request.body = std::move(*encoded.mutable_body());
    request.priority = encoded.priority();
    request.remaining = from_microseconds(encoded.remaining_us());
    request.targets.reserve(static_cast<std::size_t>(encoded.targets_size()));
    for (auto& target : *encoded.mutable_targets()) {
        request.targets.push_back(
            {target.shard(), std::move(*target.mutable_upstream())});
    }
    request.top_records = encoded.top_records();
    request.gather = from_microseconds(encoded.gather_us());
    return request;
}

std::string encode_relay_reply(const relay_reply& reply)
{
    wire::RelayReply encoded;
    for (const auto& source : reply.parts) {
        auto* part = encoded.add_parts();
        part->set_shard(source.shard);
        part->set_result(static_cast<std::uint32_t>(source.result));
        part->set_digest(source.digest);
        part->set_elapsed_us(to_microseconds(source.elapsed));
        if (source.hold) {
            auto* hold = part->mutable_hold();
            hold->set_started_at(source.hold->started_at);
            hold->set_is_leaving(source.hold->is_leaving);
            hold->set_pause_left_us(to_microseconds(source.hold->pause_left));
        }
    }
    encoded.set_records(reply.records);
    encoded.set_sent_after_us(to_microseconds(reply.sent_after));
    return encoded.SerializeAsString();
}

std::optional<relay_reply> decode_relay_reply(std::string_view message)
{
    wire::RelayReply encoded;
    if (!parse(message, encoded)) {
        return std::nullopt;
    }
    constexpr auto max_result =
        static_cast<std::uint32_t>(policy::attempt_result::not_sent);
    relay_reply reply;
    for (auto& part : *encoded.mutable_parts()) {
        if (part.result() > max_result) {
            return std::nullopt;
        }
        reply.parts.push_back(
            {part.shard(), static_cast<policy::attempt_result>(part.result()),
             std::move(*part.mutable_digest()),
             from_microseconds(part.elapsed_us())});
        if (part.has_hold()) {
            const auto& hold = part.hold();
            reply.parts.back().hold =
                policy::upstream_hold{hold.started_at(), hold.is_leaving(),
                                      from_microseconds(hold.pause_left_us())};
        }
    }
    reply.records = std::move(*encoded.mutable_records());
    reply.sent_after = from_microseconds(encoded.sent_after_us());
    return reply;
}

std::string encode_relay_cancel(const relay_cancel& cancel)
{
    wire::RelayCancel encoded;
    encoded.set_sender(cancel.sender);
    encoded.set_call(cancel.call);
    for (const auto shard : cancel.shards) {
        encoded.add_shards(shard);
    }
    return encoded.SerializeAsString();
}

std::optional<relay_cancel> decode_relay_cancel(std::string_view message)
{
    wire::RelayCancel encoded;
    if (!parse(message, encoded)) {
        return std::nullopt;
    }
    return relay_cancel{encoded.sender(),
                        encoded.call(),
                        {encoded.shards().begin(), encoded.shards().end()}};
}

} // namespace tamarackhoist::peers
