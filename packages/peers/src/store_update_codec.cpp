#include <tamarackhoist/peers/store_update_codec.hpp>

#include "codec_support.hpp"
#include <peer_messages.pb.h>
#include <tamarackhoist/peers/gossip_message.hpp>

namespace tamarackhoist::peers
{

namespace
{

/// Version of messages about a service that was restored from a copy. Nodes
/// that compare bare revisions reject it and read the service themselves.
constexpr std::uint32_t protocol_version_with_era = 2;

std::uint32_t choose_version(const store_update& update)
{
    return update.position.era() == policy::first_store_era
               ? protocol_version
               : protocol_version_with_era;
}

void encode_item(const policy::store_item& item, std::uint64_t message_era,
                 wire::StoreItem& encoded)
{
    encoded.set_key(item.key);
    encoded.set_value(item.value);
    encoded.set_revision(item.position.revision());
    encoded.set_is_removed(item.is_removed);
    if (item.position.era() != message_era) {
        encoded.set_era(item.position.era());
    }
}

policy::store_item decode_item(wire::StoreItem& encoded,
                               std::uint64_t message_era)
{
    const auto era = encoded.has_era() ? encoded.era() : message_era;
    return {std::move(*encoded.mutable_key()),
            std::move(*encoded.mutable_value()),
            {era, encoded.revision()},
            encoded.is_removed()};
}

} // namespace

std::string encode_store_update(const store_update& update)
{
    const auto era = update.position.era();
    wire::News encoded;
    encoded.set_protocol(choose_version(update));
    encoded.set_sender(update.sender);
    encoded.set_after_revision(update.after_revision);
    encoded.set_revision(update.position.revision());
    if (era != policy::first_store_era) {
        encoded.set_era(era);
    }
    encoded.set_age_us(to_microseconds(update.age));
    encoded.set_grace_us(to_microseconds(update.grace));
    for (const auto& item : update.items) {
        encode_item(item, era, *encoded.add_items());
    }
    for (const auto& item : update.held_back) {
        encode_item(item, era, *encoded.add_held_back());
    }
    for (const auto& upstream : update.withdrawn) {
        auto* added = encoded.add_withdrawn();
        added->set_id(upstream.id);
        added->set_started_at(upstream.started_at);
        added->set_is_leaving(upstream.is_leaving);
    }
    return encoded.SerializeAsString();
}

std::optional<store_update> decode_store_update(std::string_view message)
{
    wire::News encoded;
    if (!parse(message, encoded) || encoded.protocol() < protocol_version ||
        encoded.protocol() > protocol_version_with_era) {
        return std::nullopt;
    }
    const auto era =
        encoded.has_era() ? encoded.era() : policy::first_store_era;
    store_update update;
    update.sender = encoded.sender();
    update.after_revision = encoded.after_revision();
    update.position = {era, encoded.revision()};
    update.age = from_microseconds(encoded.age_us());
    update.grace = from_microseconds(encoded.grace_us());
    for (auto& item : *encoded.mutable_items()) {
        update.items.push_back(decode_item(item, era));
    }
    for (auto& item : *encoded.mutable_held_back()) {
        update.held_back.push_back(decode_item(item, era));
    }
    for (auto& upstream : *encoded.mutable_withdrawn()) {
        update.withdrawn.push_back({std::move(*upstream.mutable_id()),
                                    upstream.started_at(),
                                    upstream.is_leaving()});
    }
    return update;
}

} // namespace tamarackhoist::peers
