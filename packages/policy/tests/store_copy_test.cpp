#include <tamarackhoist/policy/store_copy.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using policy::store_copy;
using policy::store_item;
using store_items = std::vector<store_item>;

namespace
{

store_item make_item(const std::string& key, std::uint64_t revision)
{
    return {key, "value " + std::to_string(revision), revision, false};
}

store_item make_tombstone(const std::string& key, std::uint64_t revision)
{
    return {key, {}, revision, true};
}

void changes_are_merged_once()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, 5);
    cr_assert(copy.is_complete());
    const store_items changes{make_item("a", 6), make_item("b", 7)};
    cr_assert(copy.merge(changes, 7) == changes);
    cr_assert(copy.merge(changes, 7).empty());
    cr_assert(copy.merge(store_items{make_item("a", 4)}, 6).empty());
    cr_assert_eq(copy.revision(), 7U);
    cr_assert_eq(copy.items().size(), 2U);
}

void a_removed_item_stays_removed()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, 5);
    cr_assert_eq(copy.merge(store_items{make_tombstone("a", 6)}, 6).size(), 1U);
    cr_assert(copy.items().empty());
    cr_assert(copy.merge(store_items{make_item("a", 3)}, 3).empty());
    cr_assert(copy.items().empty());
}

/// After the store has dropped its history, all items are listed, without
/// tombstones. A peer's push of an older change arrives late, and must not
/// bring a removed upstream back.
void a_late_push_does_not_restore_what_a_list_lacks()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3), make_item("b", 4)}, 5);
    copy.replace(store_items{make_item("b", 4)}, 9);
    cr_assert(copy.merge(store_items{make_item("a", 8)}, 8).empty());
    cr_assert_eq(copy.items().size(), 1U);
    const store_items returned{make_item("a", 10)};
    cr_assert(copy.merge(returned, 10) == returned,
              "the upstream was registered again after the list");
}

/// A push may overtake the pages of a list.
void a_list_keeps_newer_items()
{
    store_copy copy;
    copy.merge(store_items{make_item("a", 12), make_tombstone("b", 11)}, 12);
    cr_assert(!copy.is_complete());
    copy.replace(store_items{make_item("a", 3), make_item("b", 4)}, 9);
    cr_assert(copy.items() == store_items{make_item("a", 12)});
    cr_assert_eq(copy.revision(), 12U);
}

} // namespace

Test(store_copy, changes)
{
    changes_are_merged_once();
}
Test(store_copy, removed)
{
    a_removed_item_stays_removed();
}
Test(store_copy, late_push)
{
    a_late_push_does_not_restore_what_a_list_lacks();
}
Test(store_copy, overtaken_list)
{
    a_list_keeps_newer_items();
}
