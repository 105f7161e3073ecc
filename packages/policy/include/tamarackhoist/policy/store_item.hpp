#ifndef TAMARACKHOIST_POLICY_STORE_ITEM_HPP
#define TAMARACKHOIST_POLICY_STORE_ITEM_HPP

#include <cstdint>
#include <string>

namespace tamarackhoist::policy
{

/// One item of the configuration service, or a tombstone of a removed item.
struct store_item {
    std::string key;
    /// The bytes stored by the service; empty for a tombstone.
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;

    bool operator==(const store_item&) const = default;
};

} // namespace tamarackhoist::policy

#endif
