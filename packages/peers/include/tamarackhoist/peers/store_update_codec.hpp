#ifndef TAMARACKHOIST_PEERS_STORE_UPDATE_CODEC_HPP
#define TAMARACKHOIST_PEERS_STORE_UPDATE_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::peers
{

/// Items of the configuration service, as one node passes them on to others.
struct store_update {
    /// Name of the node that sends the message.
    std::string sender;
    /// `items` holds all changes after this revision; 0 when it holds all
    /// items.
    std::uint64_t after_revision = 0;
    /// Revision that applying `items` leads to.
    std::uint64_t revision = 0;
    /// Time since the configuration service confirmed `revision`.
    runtime::duration age{};
    std::vector<policy::store_item> items;
    /// Time left in which upstreams may renew registrations that have lapsed.
    runtime::duration grace{};
};

[[nodiscard]] std::string encode_store_update(const store_update& update);

/// Returns nothing for malformed messages and other protocol versions.
[[nodiscard]] std::optional<store_update>
decode_store_update(std::string_view message);

} // namespace tamarackhoist::peers

#endif
