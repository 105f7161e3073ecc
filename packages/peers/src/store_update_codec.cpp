#include <tamarackhoist/peers/store_update_codec.hpp>

#include "codec_support.hpp"
#include <peer_messages.pb.h>
#include <tamarackhoist/peers/gossip_message.hpp>

namespace tamarackhoist::peers
{

std::string encode_store_update(const store_update& update)
{
    wire::News encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_sender(update.sender);
    encoded.set_after_revision(update.after_revision);
    encoded.set_revision(update.revision);
    encoded.set_age_us(to_microseconds(update.age));
    encoded.set_grace_us(to_microseconds(update.grace));
    for (const auto& item : update.items) {
        auto* added = encoded.add_items();
        added->set_key(item.key);
        added->set_value(item.value);
        added->set_revision(item.revision);
        added->set_is_removed(item.is_removed);
    }
    return encoded.SerializeAsString();
}

std::optional<store_update> decode_store_update(std::string_view message)
{
    wire::News encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    store_update update;
    update.sender = encoded.sender();
    update.after_revision = encoded.after_revision();
    update.revision = encoded.revision();
    update.age = from_microseconds(encoded.age_us());
    update.grace = from_microseconds(encoded.grace_us());
    for (auto& item : *encoded.mutable_items()) {
        update.items.push_back({std::move(*item.mutable_key()),
                                std::move(*item.mutable_value()),
                                item.revision(), item.is_removed()});
    }
    return update;
}

} // namespace tamarackhoist::peers
