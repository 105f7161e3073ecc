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
        const auto whole = part.size() / record_bytes;
        for (std::size_t index = 0; index < whole; ++index) {
            records.push_back(part.substr(index * record_bytes, record_bytes));
        }
    }
    const auto kept = std::min(count, records.size());
    // Views compare by char_traits, which compares bytes as unsigned.
    std::partial_sort(records.begin(),
                      records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (std::size_t index = 0; index < kept; ++index) {
        merged.append(records[index]);
    }
    return merged;
}

} // namespace tamarackhoist::policy
