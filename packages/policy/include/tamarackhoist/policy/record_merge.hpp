#ifndef TAMARACKHOIST_POLICY_RECORD_MERGE_HPP
#define TAMARACKHOIST_POLICY_RECORD_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace tamarackhoist::policy
{

/// Size of one record of a shard's answer.
constexpr std::size_t record_bytes = 16;

/// Returns the greatest `count` records of all parts, greatest first,
/// compared byte by byte. Equal records all count. Bytes after the last whole
/// record of a part are ignored.
[[nodiscard]] std::string merge_records(std::span<const std::string_view> parts,
                                        std::size_t count);

} // namespace tamarackhoist::policy

#endif
