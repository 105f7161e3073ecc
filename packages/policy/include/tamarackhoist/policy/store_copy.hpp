#ifndef TAMARACKHOIST_POLICY_STORE_COPY_HPP
#define TAMARACKHOIST_POLICY_STORE_COPY_HPP

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <tamarackhoist/policy/store_item.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// A node's copy of the items of the configuration service. Lists and changes
/// arrive from the service and from peers, in any order; the copy only moves
/// forward.
class store_copy
{
public:
    /// Merges changes up to `revision`. Returns those that are newer than the
    /// copy.
    std::vector<store_item> merge(std::span<const store_item> items,
                                  std::uint64_t revision);

    /// Replaces the copy by a list of all items as of `revision`. Items that
    /// have arrived meanwhile and are newer are kept.
    void replace(std::span<const store_item> items, std::uint64_t revision);

    /// Returns all items, without tombstones.
    [[nodiscard]] std::vector<store_item> items() const;

    /// Revision up to which the copy has all changes.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Whether the copy holds all items as of some revision.
    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    std::map<std::string, store_item> items_;
    std::uint64_t revision_ = 0;
    /// Revision of the latest list. An older item that was not in it has been
    /// removed.
    std::uint64_t listed_revision_ = 0;
    bool is_complete_ = false;
};

} // namespace tamarackhoist::policy

#endif
