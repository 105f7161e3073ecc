#ifndef TAMARACKHOIST_POLICY_RECORD_MERGE_HPP
#define TAMARACKHOIST_POLICY_RECORD_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace tamarackhoist::policy
{

/// Size of one record in a shard's answer.
constexpr std::size_t record_bytes = 16;

/// Returns the `count` greatest records of all parts in descending order,
/// compared bytewise as unsigned. Duplicates are kept. Bytes after the last
/// complete record of a part are ignored.
[[nodiscard]] std::string merge_records(std::span<const std::string_view> parts,
                                        std::size_t count);

/// Returns `records` without those that cannot be among the `count` greatest of
/// a fan-out, so that a large answer of one shard need not be kept whole.
[[nodiscard]] std::string keep_greatest_records(std::string records,
                                                std::size_t count);

} // namespace tamarackhoist::policy

#endif
