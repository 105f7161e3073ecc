#ifndef TAMARACKHOIST_PEERS_CODEC_SUPPORT_HPP
#define TAMARACKHOIST_PEERS_CODEC_SUPPORT_HPP

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>

/// Helpers that the codecs of messages between nodes share.
namespace tamarackhoist::peers
{

/// Longer durations in messages of peers are limited to this.
constexpr std::uint64_t max_duration_us = 3'600'000'000;

/// Converts a duration; negative ones become 0.
[[nodiscard]] inline std::uint64_t to_microseconds(runtime::duration value)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

/// Converts a number of microseconds, limited to `max_duration_us`.
[[nodiscard]] inline runtime::duration from_microseconds(std::uint64_t value)
{
    return std::chrono::microseconds(std::min(value, max_duration_us));
}

/// Parses a protobuf message. Returns false if it is malformed.
template <typename Message>
[[nodiscard]] bool parse(std::string_view text, Message& message)
{
    return message.ParseFromArray(text.data(), static_cast<int>(text.size()));
}

} // namespace tamarackhoist::peers

#endif
