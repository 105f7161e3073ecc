#ifndef TAMARACKHOIST_POLICY_KEY_RANGE_HPP
#define TAMARACKHOIST_POLICY_KEY_RANGE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

namespace tamarackhoist::policy
{

using key = std::uint64_t;

/// End of the key space of every index: keys are in [0, key_space_end).
constexpr key key_space_end = 1ULL << 32;

/// Half-open range of keys, [begin, end).
struct key_range {
    key begin = 0;
    key end = 0;

    [[nodiscard]] bool empty() const { return begin >= end; }
    [[nodiscard]] bool contains(key value) const
    {
        return value >= begin && value < end;
    }
    [[nodiscard]] key size() const { return empty() ? 0 : end - begin; }
    [[nodiscard]] key_range intersection(const key_range& other) const
    {
        return {std::max(begin, other.begin), std::min(end, other.end)};
    }
    auto operator<=>(const key_range&) const = default;
};

constexpr key_range whole_key_space{0, key_space_end};

} // namespace tamarackhoist::policy

#endif
