#ifndef TAMARACKHOIST_POLICY_IDENTIFIER_HPP
#define TAMARACKHOIST_POLICY_IDENTIFIER_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace tamarackhoist::policy
{

/// Returns the 64-bit XXH3 hash of `text`.
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

/// Returns the 64-bit XXH3 hash of the pair of two hashes.
[[nodiscard]] std::uint64_t hash_pair(std::uint64_t left, std::uint64_t right);

/// Hash of a name, with a distinct type for each kind of named entity. Unlike
/// an index into a table, it is the same on nodes with different document
/// revisions.
template <typename Tag>
struct identifier {
    std::uint64_t value = 0;

    /// Returns the identifier of the entity called `name`.
    [[nodiscard]] static identifier from_name(std::string_view name)
    {
        return {hash_text(name)};
    }
    auto operator<=>(const identifier&) const = default;
};

using upstream_id = identifier<struct upstream_tag>;
using node_id = identifier<struct node_tag>;

/// Identifier of one attempt of a sub-request. Never reused.
struct request_id {
    /// Identifies the entry node incarnation that issued the attempt.
    std::uint64_t origin = 0;
    /// Number of the attempt at its origin.
    std::uint64_t serial = 0;
    auto operator<=>(const request_id&) const = default;
};

} // namespace tamarackhoist::policy

template <typename Tag>
struct std::hash<tamarackhoist::policy::identifier<Tag>> {
    std::size_t
    operator()(const tamarackhoist::policy::identifier<Tag>& id) const noexcept
    {
        return id.value;
    }
};

template <>
struct std::hash<tamarackhoist::policy::request_id> {
    std::size_t
    operator()(const tamarackhoist::policy::request_id& id) const noexcept
    {
        // Serials are consecutive; the multiplier spreads them over the
        // buckets.
        return (id.origin ^ id.serial) * 0x9e3779b97f4a7c15ULL;
    }
};

#endif
