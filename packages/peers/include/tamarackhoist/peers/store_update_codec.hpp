#ifndef TAMARACKHOIST_PEERS_STORE_UPDATE_CODEC_HPP
#define TAMARACKHOIST_PEERS_STORE_UPDATE_CODEC_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/departed_upstreams.hpp>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::peers
{

/// Items of the configuration service, as one node passes them on to others.
struct store_update {
    /// Name of the node that sends the message.
    std::string sender;
    /// `items` holds all changes after this revision of the era of `position`;
    /// 0 when it holds all items.
    std::uint64_t after_revision = 0;
    /// Position that applying `items` leads to.
    policy::store_position position;
    /// Time since the configuration service confirmed `position`.
    runtime::duration age{};
    std::vector<policy::store_item> items;
    /// Time left in which upstreams may renew registrations that have lapsed.
    runtime::duration grace{};
    /// Items of an earlier era that are in force at the sender, as the service
    /// came back with older ones.
    std::vector<policy::store_item> held_back;
    /// Upstreams that take no more requests.
    std::vector<policy::withdrawn_upstream> withdrawn;

    [[nodiscard]] bool has_all_items() const { return after_revision == 0; }
};

[[nodiscard]] std::string encode_store_update(const store_update& update);

/// Returns nothing for malformed messages and other protocol versions.
[[nodiscard]] std::optional<store_update>
decode_store_update(std::string_view message);

} // namespace tamarackhoist::peers

#endif
