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
    for (const auto& item : news.items) {
        auto* added = encoded.add_items();
        added->set_key(item.key);
        added->set_value(item.value);
        added->set_revision(item.revision);
        added->set_is_removed(item.is_removed);
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
    for (auto& item : *encoded.mutable_items()) {
        news.items.push_back({std::move(*item.mutable_key()),
                              std::move(*item.mutable_value()), item.revision(),
                              item.is_removed()});
    }
    return news;
}

} // namespace tamarackhoist::peers
