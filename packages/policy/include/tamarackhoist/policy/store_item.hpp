#ifndef TAMARACKHOIST_POLICY_STORE_ITEM_HPP
#define TAMARACKHOIST_POLICY_STORE_ITEM_HPP

#include <string>
#include <tamarackhoist/policy/store_position.hpp>

namespace tamarackhoist::policy
{

/// One item of the configuration service, or a tombstone of a removed item.
struct store_item {
    std::string key;
    /// The bytes stored by the service; empty for a tombstone.
    std::string value;
    /// Position of the last change of the item.
    store_position position;
    bool is_removed = false;

    bool operator==(const store_item&) const = default;
};

} // namespace tamarackhoist::policy

#endif
