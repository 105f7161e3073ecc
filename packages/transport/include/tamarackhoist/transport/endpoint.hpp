#ifndef TAMARACKHOIST_TRANSPORT_ENDPOINT_HPP
#define TAMARACKHOIST_TRANSPORT_ENDPOINT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarackhoist::transport
{

/// IP address and TCP port that a process listens on.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    /// Parses `ADDRESS:PORT`, with an IPv6 address in brackets. Returns nothing
    /// if the address or the port is invalid.
    [[nodiscard]] static std::optional<endpoint> parse(std::string_view text);

    /// Returns `ADDRESS:PORT`, with an IPv6 address in brackets.
    [[nodiscard]] std::string to_text() const;

    auto operator<=>(const endpoint&) const = default;
};

} // namespace tamarackhoist::transport

#endif
