#ifndef TAMARACKHOIST_TRANSPORT_ENDPOINT_HPP
#define TAMARACKHOIST_TRANSPORT_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackhoist::transport
{

/// IP address and port of a process.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// Parses `ADDRESS:PORT`; IPv6 addresses stand in brackets.
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text);

    [[nodiscard]] std::string to_text() const;

    auto operator<=>(const endpoint&) const = default;
};

} // namespace tamarackhoist::transport

#endif
