#ifndef TAMARACKHOIST_POLICY_STORE_ITEM_HPP
#define TAMARACKHOIST_POLICY_STORE_ITEM_HPP

#include <cstdint>
#include <string>

namespace tamarackhoist::policy
{

/// One item of the configuration service, or its removal.
struct store_item {
    std::string key;
    /// Bytes as the service holds them; empty for a removal.
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;

    bool operator==(const store_item&) const = default;
};

} // namespace tamarackhoist::policy

#endif
