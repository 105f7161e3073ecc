#include <tamarackhoist/policy/store_copy.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using policy::store_copy;
using policy::store_item;
using policy::store_position;
using store_items = std::vector<store_item>;

namespace
{

constexpr store_position at(std::uint64_t revision, std::uint64_t era = 1)
{
    return {era, revision};
}

store_item make_item(const std::string& key, std::uint64_t revision,
                     std::uint64_t era = 1)
{
    return {key, "value " + std::to_string(revision), at(revision, era), false};
}

store_item make_tombstone(const std::string& key, std::uint64_t revision,
                          std::uint64_t era = 1)
{
    return {key, {}, at(revision, era), true};
}

void changes_are_merged_once()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, at(5));
    cr_assert(copy.is_complete());
    const store_items changes{make_item("a", 6), make_item("b", 7)};
    cr_assert(copy.merge(changes, at(7)) == changes);
    cr_assert(copy.merge(changes, at(7)).empty());
    cr_assert(copy.merge(store_items{make_item("a", 4)}, at(6)).empty());
    cr_assert(copy.position() == at(7));
    cr_assert_eq(copy.items().size(), 2U);
}

void a_removed_item_stays_removed()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, at(5));
    cr_assert_eq(copy.merge(store_items{make_tombstone("a", 6)}, at(6)).size(),
                 1U);
    cr_assert(copy.items().empty());
    cr_assert(copy.merge(store_items{make_item("a", 3)}, at(3)).empty());
    cr_assert(copy.items().empty());
}

/// After the store has dropped its history, all items are listed, without
/// tombstones. A peer's push of an older change arrives late, and must not
/// bring a removed upstream back.
void a_late_push_does_not_restore_what_a_list_lacks()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3), make_item("b", 4)}, at(5));
    copy.replace(store_items{make_item("b", 4)}, at(9));
    cr_assert(copy.merge(store_items{make_item("a", 8)}, at(8)).empty());
    cr_assert_eq(copy.items().size(), 1U);
    const store_items returned{make_item("a", 10)};
    cr_assert(copy.merge(returned, at(10)) == returned,
              "the upstream was registered again after the list");
}

/// A push may overtake the pages of a list.
void a_list_keeps_newer_items()
{
    store_copy copy;
    copy.merge(store_items{make_item("a", 12), make_tombstone("b", 11)},
               at(12));
    cr_assert(!copy.is_complete());
    copy.replace(store_items{make_item("a", 3), make_item("b", 4)}, at(9));
    cr_assert(copy.items() == store_items{make_item("a", 12)});
    cr_assert(copy.position() == at(12));
}

/// Guards against items that stay in use although a store that was restored
/// from a copy has lost them: their revisions are higher than the new ones.
void a_list_of_a_new_era_replaces_everything()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3), make_item("b", 40)}, at(50));
    copy.merge(store_items{make_tombstone("c", 51)}, at(51));
    const store_items restored{make_item("a", 3, 2), make_item("c", 4, 2)};
    cr_assert(copy.replace(restored, at(10, 2)));
    cr_assert(copy.items() == restored);
    cr_assert(copy.position() == at(10, 2));
    const store_items changes{make_item("b", 11, 2)};
    cr_assert(copy.merge(changes, at(11, 2)) == changes);
}

/// Guards against a list that a newer one has overtaken, as when a peer that
/// took over reading was faster: it holds what has been removed since.
void an_overtaken_list_does_not_restore_what_a_newer_one_lacks()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, at(12));
    const store_items older{make_item("a", 3), make_item("b", 4),
                            make_item("c", 13)};
    cr_assert(copy.replace(older, at(10)));
    const store_items expected{make_item("a", 3), make_item("c", 13)};
    cr_assert(copy.items() == expected);
    cr_assert(copy.position() == at(12));
}

/// Guards against two lists from one revision, as two nodes read them: the
/// later pages of one may lack what was removed while they were read.
void a_list_of_the_same_position_restores_nothing()
{
    store_copy copy;
    const store_items items{make_item("a", 3)};
    copy.replace(items, at(10));
    cr_assert(copy.replace(store_items{make_item("a", 3), make_item("b", 4)},
                           at(10)));
    cr_assert(copy.items() == items);
}

/// Guards against pushes and lists of the era before, which arrive late.
void what_is_of_an_earlier_era_is_ignored()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3, 2)}, at(10, 2));
    cr_assert(!copy.replace(store_items{make_item("b", 90)}, at(90)));
    cr_assert(copy.merge(store_items{make_item("b", 91)}, at(91)).empty());
    cr_assert_eq(copy.items().size(), 1U);
    cr_assert(copy.position() == at(10, 2));
}

/// Guards against changes of a new era on top of items of the one before.
void changes_of_a_new_era_need_a_list_first()
{
    store_copy copy;
    copy.replace(store_items{make_item("a", 3)}, at(10));
    cr_assert(copy.merge(store_items{make_item("b", 4, 2)}, at(4, 2)).empty());
    cr_assert_eq(copy.items().size(), 1U);
    cr_assert(copy.position() == at(10));
}

} // namespace

Test(store_copy, new_era)
{
    a_list_of_a_new_era_replaces_everything();
}
Test(store_copy, earlier_era)
{
    what_is_of_an_earlier_era_is_ignored();
}
Test(store_copy, changes_of_new_era)
{
    changes_of_a_new_era_need_a_list_first();
}
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
Test(store_copy, overtaken_by_list)
{
    an_overtaken_list_does_not_restore_what_a_newer_one_lacks();
}
Test(store_copy, list_of_same_position)
{
    a_list_of_the_same_position_restores_nothing();
}
Test(store_copy, overtaken_list)
{
    a_list_keeps_newer_items();
}
