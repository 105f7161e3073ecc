#include <tamarackhoist/peers/gossip_message.hpp>

#include <peer_messages.pb.h>

namespace tamarackhoist::peers
{

namespace
{

void encode_member(const member& from, wire::Member& to)
{
    to.set_name(from.name);
    to.set_address(from.where.address);
    to.set_port(from.where.port);
    to.set_failure_domain(from.failure_domain);
    to.set_region(from.region);
    to.set_incarnation(from.incarnation);
    to.set_state(static_cast<std::uint32_t>(from.state));
    to.set_refutation(from.refutation);
    to.set_capacity(from.capacity);
}

std::optional<member> decode_member(const wire::Member& from)
{
    constexpr std::uint32_t max_port = 65535;
    constexpr std::size_t max_name = 128;
    const auto greatest_state = static_cast<std::uint32_t>(member_state::dead);
    const auto where = transport::endpoint::parse(from.address() + ":" +
                                                  std::to_string(from.port()));
    if (from.name().empty() || from.name().size() > max_name ||
        from.failure_domain().size() > max_name ||
        from.region().size() > max_name || from.port() > max_port ||
        from.state() > greatest_state || !where) {
        return std::nullopt;
    }
    return member{
        from.name(),           *where,
        from.failure_domain(), from.region(),
        from.incarnation(),    static_cast<member_state>(from.state()),
        from.refutation(),     from.capacity()};
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
    for (const auto& each : message.drains) {
        auto* drain = encoded.add_drains();
        drain->set_upstream(each.upstream.value);
        drain->set_is_draining(each.is_draining);
        drain->set_stamp(each.stamp);
        if (encoded.ByteSizeLong() > max_datagram_bytes) {
            encoded.mutable_drains()->RemoveLast();
            break;
        }
    }
    for (const auto& each : message.updates) {
        encode_member(each, *encoded.add_updates());
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
    const auto greatest_kind =
        static_cast<std::uint32_t>(gossip_kind::relayed_ack);
    if (datagram.size() > max_datagram_bytes ||
        !encoded.ParseFromArray(datagram.data(),
                                static_cast<int>(datagram.size())) ||
        encoded.protocol() != protocol_version ||
        encoded.kind() > greatest_kind) {
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
    for (const auto& each : encoded.updates()) {
        auto update = decode_member(each);
        if (!update) {
            return std::nullopt;
        }
        message.updates.push_back(std::move(*update));
    }
    message.digest = {encoded.digest().revision(), encoded.digest().hash()};
    for (const auto& each : encoded.drains()) {
        message.drains.push_back(
            {{each.upstream()}, each.is_draining(), each.stamp()});
    }
    return message;
}

std::string encode_members(std::span<const member> members)
{
    wire::MemberList encoded;
    encoded.set_protocol(protocol_version);
    for (const auto& each : members) {
        encode_member(each, *encoded.add_members());
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
    for (const auto& each : encoded.members()) {
        auto decoded = decode_member(each);
        if (!decoded) {
            return std::nullopt;
        }
        members.push_back(std::move(*decoded));
    }
    return members;
}

} // namespace tamarackhoist::peers
