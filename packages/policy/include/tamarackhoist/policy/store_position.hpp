#ifndef TAMARACKHOIST_POLICY_STORE_POSITION_HPP
#define TAMARACKHOIST_POLICY_STORE_POSITION_HPP

#include <compare>
#include <cstdint>

namespace tamarackhoist::policy
{

/// Era of a store that does not state one.
constexpr std::uint64_t first_store_era = 1;

/// A point in the history of the configuration service. Its revisions rise with
/// each change, but go back when it is restored from a copy, which begins a new
/// era. Revisions of two eras cannot be compared.
class store_position
{
public:
    /// Precedes every position of a store.
    constexpr store_position() = default;
    // The constructor keeps a bare revision from being taken for a position.
    constexpr store_position(std::uint64_t era, std::uint64_t revision)
        : era_(era), revision_(revision)
    {
    }

    [[nodiscard]] constexpr std::uint64_t era() const { return era_; }
    [[nodiscard]] constexpr std::uint64_t revision() const { return revision_; }

    auto operator<=>(const store_position&) const = default;

private:
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
};

} // namespace tamarackhoist::policy

#endif
