#ifndef TAMARACKHOIST_PEERS_CODEC_SUPPORT_HPP
#define TAMARACKHOIST_PEERS_CODEC_SUPPORT_HPP

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>

/// What the codecs of messages between nodes share.
namespace tamarackhoist::peers
{

/// Longest duration that a peer may state.
constexpr std::uint64_t max_microseconds = 3'600'000'000;

[[nodiscard]] inline std::uint64_t to_microseconds(runtime::duration value)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

[[nodiscard]] inline runtime::duration from_microseconds(std::uint64_t value)
{
    return std::chrono::microseconds(std::min(value, max_microseconds));
}

template <typename Message>
[[nodiscard]] bool parse(std::string_view text, Message& message)
{
    return message.ParseFromArray(text.data(), static_cast<int>(text.size()));
}

} // namespace tamarackhoist::peers

#endif
