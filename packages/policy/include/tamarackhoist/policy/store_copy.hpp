#ifndef TAMARACKHOIST_POLICY_STORE_COPY_HPP
#define TAMARACKHOIST_POLICY_STORE_COPY_HPP

#include <map>
#include <span>
#include <string>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/policy/store_position.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// A node's copy of the items of the configuration service. Lists and changes
/// arrive from the service and from peers, in any order; the copy only moves
/// forward. It holds items of one era of the service: those of an earlier era
/// are ignored, and a later era begins with a list.
class store_copy
{
public:
    /// Merges changes up to `position`. Returns those that are newer than the
    /// copy. Changes of a later era than that of a complete copy are ignored,
    /// as the items before them are not known.
    std::vector<store_item> merge(std::span<const store_item> items,
                                  store_position position);

    /// Replaces the copy by a list of all items as of `position`. Items of the
    /// same era that have arrived meanwhile and are newer are kept. A list that
    /// another of its era has caught up with is merged. Ignored if the list is
    /// of an earlier era. Returns whether it was used.
    bool replace(std::span<const store_item> items, store_position position);

    /// Returns all items, without tombstones.
    [[nodiscard]] std::vector<store_item> items() const;

    /// Position up to which the copy has all changes.
    [[nodiscard]] store_position position() const { return position_; }
    /// Whether the copy holds all items as of some position.
    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    std::map<std::string, store_item> items_;
    store_position position_;
    /// Position of the latest list. An older item that was not in it has been
    /// removed.
    store_position listed_position_;
    bool is_complete_ = false;
};

} // namespace tamarackhoist::policy

#endif
