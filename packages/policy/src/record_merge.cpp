#include <tamarackhoist/policy/record_merge.hpp>

#include <algorithm>
#include <functional>
#include <vector>

namespace tamarackhoist::policy
{

std::string merge_records(std::span<const std::string_view> parts,
                          std::size_t count)
{
    std::vector<std::string_view> records;
    for (const auto part : parts) {
        const auto record_count = part.size() / record_bytes;
        for (std::size_t index = 0; index < record_count; ++index) {
            records.push_back(part.substr(index * record_bytes, record_bytes));
        }
    }
    const auto merged_count = std::min(count, records.size());
    // std::string_view compares bytes as unsigned through std::char_traits.
    std::partial_sort(records.begin(),
                      records.begin() +
                          static_cast<std::ptrdiff_t>(merged_count),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(merged_count * record_bytes);
    for (std::size_t index = 0; index < merged_count; ++index) {
        merged.append(records[index]);
    }
    return merged;
}

std::string keep_greatest_records(std::string records, std::size_t count)
{
    if (records.size() <= count * record_bytes) {
        return records;
    }
    const std::string_view all(records);
    return merge_records({&all, 1}, count);
}

} // namespace tamarackhoist::policy
