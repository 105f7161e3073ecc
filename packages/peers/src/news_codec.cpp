#include <tamarackhoist/peers/news_codec.hpp>

#include "codec_support.hpp"
#include <peer_messages.pb.h>
#include <tamarackhoist/peers/gossip_message.hpp>

namespace tamarackhoist::peers
{

std::string encode_news(const shared_news& news)
{
    wire::News encoded;
    encoded.set_protocol(protocol_version);
    encoded.set_sender(news.sender);
    encoded.set_after_revision(news.after_revision);
    encoded.set_revision(news.revision);
    encoded.set_age_us(to_microseconds(news.age));
    encoded.set_grace_us(to_microseconds(news.grace));
    for (const auto& each : news.items) {
        auto* item = encoded.add_items();
        item->set_key(each.key);
        item->set_value(each.value);
        item->set_revision(each.revision);
        item->set_is_removed(each.is_removed);
    }
    return encoded.SerializeAsString();
}

std::optional<shared_news> decode_news(std::string_view message)
{
    wire::News encoded;
    if (!parse(message, encoded) || encoded.protocol() != protocol_version) {
        return std::nullopt;
    }
    shared_news news;
    news.sender = encoded.sender();
    news.after_revision = encoded.after_revision();
    news.revision = encoded.revision();
    news.age = from_microseconds(encoded.age_us());
    news.grace = from_microseconds(encoded.grace_us());
    for (auto& each : *encoded.mutable_items()) {
        news.items.push_back({std::move(*each.mutable_key()),
                              std::move(*each.mutable_value()), each.revision(),
                              each.is_removed()});
    }
    return news;
}

} // namespace tamarackhoist::peers
