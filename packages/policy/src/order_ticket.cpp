#include <tamarackhoist/policy/order_ticket.hpp>

#include <array>
#include <charconv>
#include <cstddef>

namespace tamarackhoist::policy
{

namespace
{

constexpr std::string_view prefix = "t1";
constexpr std::size_t word_digits = 16;
constexpr std::size_t word_count = 4;
constexpr int hexadecimal = 16;

std::string format_word(std::uint64_t word)
{
    std::array<char, word_digits> digits{};
    const auto end =
        std::to_chars(digits.begin(), digits.end(), word, hexadecimal).ptr;
    const auto length = static_cast<std::size_t>(end - digits.begin());
    return std::string(word_digits - length, '0') +
           std::string(digits.data(), length);
}

std::optional<std::uint64_t> parse_word(std::string_view text)
{
    std::uint64_t word = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, word, hexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return word;
}

} // namespace

std::optional<order_ticket> order_ticket::parse(std::string_view text)
{
    constexpr auto stride = word_digits + 1;
    if (text.size() != prefix.size() + word_count * stride ||
        !text.starts_with(prefix)) {
        return std::nullopt;
    }
    std::array<std::uint64_t, word_count> words{};
    for (std::size_t position = 0; position < word_count; ++position) {
        const auto part =
            text.substr(prefix.size() + position * stride, stride);
        const auto word = parse_word(part.substr(1));
        if (part.front() != '-' || !word) {
            return std::nullopt;
        }
        words[position] = *word;
    }
    return order_ticket{{words[0]}, words[1], words[2], words[3]};
}

std::string order_ticket::to_text() const
{
    std::string text(prefix);
    for (const auto word : {issuer.value, incarnation, token_high, token_low}) {
        text.append("-").append(format_word(word));
    }
    return text;
}

} // namespace tamarackhoist::policy
