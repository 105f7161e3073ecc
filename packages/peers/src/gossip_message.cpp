#include <tamarackhoist/peers/gossip_message.hpp>

#include <peer_messages.pb.h>

namespace tamarackhoist::peers
{

namespace
{

void encode_member(const member& source, wire::Member& encoded)
{
    encoded.set_name(source.name);
    encoded.set_address(source.endpoint.address);
    encoded.set_port(source.endpoint.port);
    encoded.set_failure_domain(source.failure_domain);
    encoded.set_region(source.region);
    encoded.set_incarnation(source.incarnation);
    encoded.set_state(static_cast<std::uint32_t>(source.state));
    encoded.set_refutation(source.refutation);
    encoded.set_capacity(source.capacity);
}

std::optional<member> decode_member(const wire::Member& encoded)
{
    constexpr std::uint32_t max_port = 65535;
    constexpr std::size_t max_name_bytes = 128;
    const auto max_state = static_cast<std::uint32_t>(member_state::dead);
    const auto parsed_endpoint = transport::endpoint::parse(
        encoded.address() + ":" + std::to_string(encoded.port()));
    if (encoded.name().empty() || encoded.name().size() > max_name_bytes ||
        encoded.failure_domain().size() > max_name_bytes ||
        encoded.region().size() > max_name_bytes || encoded.port() > max_port ||
        encoded.state() > max_state || !parsed_endpoint) {
        return std::nullopt;
    }
    return member{
        encoded.name(),           *parsed_endpoint,
        encoded.failure_domain(), encoded.region(),
        encoded.incarnation(),    static_cast<member_state>(encoded.state()),
        encoded.refutation(),     encoded.capacity()};
}

} // namespace

std::string encode_gossip(const gossip_message& message)
{
    wire::Gossip encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_kind(static_cast<std::uint32_t>(message.kind));
    encoded.set_sequence(message.sequence);
    encode_member(message.sender, *encoded.mutable_sender());
    if (message.subject) {
        encode_member(*message.subject, *encoded.mutable_subject());
    }
    encoded.mutable_digest()->set_revision(message.digest.revision);
    encoded.mutable_digest()->set_hash(message.digest.hash);
    for (const auto& update : message.drains) {
        auto* drain = encoded.add_drains();
        drain->set_upstream(update.upstream.value);
        drain->set_is_draining(update.is_draining);
        drain->set_stamp(update.stamp);
        if (encoded.ByteSizeLong() > max_datagram_bytes) {
            encoded.mutable_drains()->RemoveLast();
            break;
        }
    }
    for (const auto& update : message.updates) {
        encode_member(update, *encoded.add_updates());
        if (encoded.ByteSizeLong() > max_datagram_bytes) {
            encoded.mutable_updates()->RemoveLast();
            break;
        }
    }
    return encoded.SerializeAsString();
}

std::optional<gossip_message> decode_gossip(std::string_view datagram)
{
    wire::Gossip encoded;
    const auto max_kind = static_cast<std::uint32_t>(gossip_kind::relayed_ack);
    if (datagram.size() > max_datagram_bytes ||
        !encoded.ParseFromArray(datagram.data(),
                                static_cast<int>(datagram.size())) ||
        encoded.protocol() != protocol_version || encoded.kind() > max_kind) {
        return std::nullopt;
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(encoded.kind());
    message.sequence = encoded.sequence();
    auto sender = decode_member(encoded.sender());
    if (!sender) {
        return std::nullopt;
    }
    message.sender = std::move(*sender);
    if (encoded.has_subject()) {
        message.subject = decode_member(encoded.subject());
    }
    for (const auto& encoded_update : encoded.updates()) {
        auto update = decode_member(encoded_update);
        if (!update) {
            return std::nullopt;
        }
        message.updates.push_back(std::move(*update));
    }
    message.digest = {encoded.digest().revision(), encoded.digest().hash()};
    for (const auto& drain : encoded.drains()) {
        message.drains.push_back(
            {{drain.upstream()}, drain.is_draining(), drain.stamp()});
    }
    return message;
}

std::string encode_members(std::span<const member> members)
{
    wire::MemberList encoded;
    encoded.set_protocol(protocol_version);
    for (const auto& listed : members) {
        encode_member(listed, *encoded.add_members());
    }
    return encoded.SerializeAsString();
}

std::optional<std::vector<member>> decode_members(std::string_view message)
{
    wire::MemberList encoded;
    if (!encoded.ParseFromArray(message.data(),
                                static_cast<int>(message.size())) ||
        encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    std::vector<member> members;
    for (const auto& encoded_member : encoded.members()) {
        auto decoded = decode_member(encoded_member);
        if (!decoded) {
            return std::nullopt;
        }
        members.push_back(std::move(*decoded));
    }
    return members;
}

} // namespace tamarackhoist::peers
