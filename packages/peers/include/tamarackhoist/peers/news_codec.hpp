#ifndef TAMARACKHOIST_PEERS_NEWS_CODEC_HPP
#define TAMARACKHOIST_PEERS_NEWS_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::peers
{

/// What a node has read from the configuration service, as it passes it on.
struct shared_news {
    std::string sender;
    /// The items are all changes after this revision; 0 for all items.
    std::uint64_t after_revision = 0;
    std::uint64_t revision = 0;
    /// Time since the service confirmed the revision.
    runtime::duration age{};
    std::vector<policy::store_item> items;
    /// Time in which registrations that lapsed may still be renewed.
    runtime::duration grace{};
};

[[nodiscard]] std::string encode_news(const shared_news& news);

/// Returns nothing for malformed messages and other protocol versions.
[[nodiscard]] std::optional<shared_news> decode_news(std::string_view message);

} // namespace tamarackhoist::peers

#endif
