#include <tamarackhoist/policy/identifier.hpp>

#include <array>
#include <xxhash.h>

namespace tamarackhoist::policy
{

std::uint64_t hash_text(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hash_pair(std::uint64_t left, std::uint64_t right)
{
    const std::array words{left, right};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace tamarackhoist::policy
