#include "../src/fan_out_parts.hpp"
#include <string>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using policy::attempt_result;

namespace
{

peers::relay_part make_part(std::uint32_t shard, const std::string& digest)
{
    return {shard, attempt_result::answered, digest, {}};
}

/// Guards against counting a shard twice: a hedge answered first, and the
/// relay's merged records contain that shard, too. They cannot be separated, so
/// the hedge's answer must be left out.
void a_shard_that_is_answered_twice_counts_once()
{
    node::fan_out_parts parts(3);
    parts.add(1, "hedge-1", "single");
    parts.add({{make_part(0, "d0"), make_part(1, "d1")}, "merged"});
    parts.add(2, "d2", "other");
    const auto merged = parts.collect();
    cr_assert(merged.digests ==
              (std::vector<std::string_view>{"d0", "d1", "d2"}));
    cr_assert(merged.records ==
              (std::vector<std::string_view>{"merged", "other"}));
}

void individual_answers_of_merged_shards_are_left_out()
{
    node::fan_out_parts parts(2);
    parts.add({{make_part(0, "d0"), make_part(1, "d1")}, "merged"});
    parts.add(0, "late", "again");
    parts.add({{make_part(1, "later")}, "again"});
    cr_assert_eq(parts.collect().digests.size(), 2U);
    cr_assert_eq(parts.collect().records.size(), 1U);
}

void failed_and_out_of_range_shards_are_left_out()
{
    node::fan_out_parts parts(2);
    parts.add({{make_part(0, "d0"),
                {1, attempt_result::broken, {}, {}},
                make_part(9, "foreign")},
               "one"});
    cr_assert(parts.collect().digests == (std::vector<std::string_view>{"d0"}));
}

void a_merged_reply_that_overlaps_is_ignored()
{
    node::fan_out_parts parts(3);
    parts.add({{make_part(0, "a0"), make_part(1, "a1")}, "first"});
    parts.add({{make_part(1, "b1"), make_part(2, "b2")}, "second"});
    cr_assert(parts.collect().records ==
              (std::vector<std::string_view>{"first"}));
}

} // namespace

Test(fan_out_parts, answered_twice)
{
    a_shard_that_is_answered_twice_counts_once();
}
Test(fan_out_parts, late_answer)
{
    individual_answers_of_merged_shards_are_left_out();
}
Test(fan_out_parts, failed)
{
    failed_and_out_of_range_shards_are_left_out();
}
Test(fan_out_parts, overlap)
{
    a_merged_reply_that_overlaps_is_ignored();
}
