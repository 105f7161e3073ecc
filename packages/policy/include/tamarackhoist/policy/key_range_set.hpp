#ifndef TAMARACKHOIST_POLICY_KEY_RANGE_SET_HPP
#define TAMARACKHOIST_POLICY_KEY_RANGE_SET_HPP

#include <span>
#include <tamarackhoist/policy/key_range.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// Set of keys, kept as disjoint, non-adjacent ranges in ascending order.
class key_range_set
{
public:
    key_range_set() = default;
    explicit key_range_set(std::span<const key_range> ranges);

    /// Adds every key of `range`.
    void add(key_range range);

    /// Adds every key of `other`.
    void add(const key_range_set& other);

    [[nodiscard]] bool contains(key value) const;
    [[nodiscard]] bool empty() const { return ranges_.empty(); }

    /// Returns the number of keys.
    [[nodiscard]] key size() const;

    /// Returns the keys of this set that are in `bounds`.
    [[nodiscard]] key_range_set intersection(key_range bounds) const;

    /// Returns the keys of this set that are not in `other`.
    [[nodiscard]] key_range_set difference(const key_range_set& other) const;

    [[nodiscard]] std::span<const key_range> ranges() const { return ranges_; }

    bool operator==(const key_range_set&) const = default;

private:
    std::vector<key_range> ranges_;
};

} // namespace tamarackhoist::policy

#endif
