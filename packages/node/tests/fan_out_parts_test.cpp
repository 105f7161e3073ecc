#include "../src/fan_out_parts.hpp"
#include <string>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using policy::attempt_result;

namespace
{

peers::relay_part part(std::uint32_t shard, const std::string& digest)
{
    return {shard, attempt_result::answered, digest, {}};
}

/// A hedge answered first and the relay's merged records hold that shard,
/// too: it must count once, and its merged records cannot be taken out.
void a_shard_that_came_twice_counts_once()
{
    node::fan_out_parts parts(3);
    parts.add(1, "hedge-1", "single");
    parts.add({{part(0, "d0"), part(1, "d1")}, "merged"});
    parts.add(2, "d2", "other");
    const auto merged = parts.merge();
    cr_assert(merged.digests ==
              (std::vector<std::string_view>{"d0", "d1", "d2"}));
    cr_assert(merged.records ==
              (std::vector<std::string_view>{"merged", "other"}));
}

void a_single_answer_after_the_merged_one_is_left_out()
{
    node::fan_out_parts parts(2);
    parts.add({{part(0, "d0"), part(1, "d1")}, "merged"});
    parts.add(0, "late", "again");
    parts.add({{part(1, "later")}, "again"});
    cr_assert_eq(parts.merge().digests.size(), 2U);
    cr_assert_eq(parts.merge().records.size(), 1U);
}

void failed_parts_and_foreign_shards_are_left_out()
{
    node::fan_out_parts parts(2);
    parts.add({{part(0, "d0"),
                {1, attempt_result::broken, {}, {}},
                part(9, "foreign")},
               "one"});
    cr_assert(parts.merge().digests == (std::vector<std::string_view>{"d0"}));
}

void merged_answers_that_overlap_are_not_both_taken()
{
    node::fan_out_parts parts(3);
    parts.add({{part(0, "a0"), part(1, "a1")}, "first"});
    parts.add({{part(1, "b1"), part(2, "b2")}, "second"});
    cr_assert(parts.merge().records ==
              (std::vector<std::string_view>{"first"}));
}

} // namespace

Test(fan_out_parts, twice)
{
    a_shard_that_came_twice_counts_once();
}
Test(fan_out_parts, late)
{
    a_single_answer_after_the_merged_one_is_left_out();
}
Test(fan_out_parts, failed)
{
    failed_parts_and_foreign_shards_are_left_out();
}
Test(fan_out_parts, overlap)
{
    merged_answers_that_overlap_are_not_both_taken();
}
