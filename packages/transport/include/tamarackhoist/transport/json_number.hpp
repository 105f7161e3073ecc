#ifndef TAMARACKHOIST_TRANSPORT_JSON_NUMBER_HPP
#define TAMARACKHOIST_TRANSPORT_JSON_NUMBER_HPP

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

namespace tamarackhoist::transport
{

/// Returns the value as an unsigned 64-bit integer, or nothing if it is not a
/// number or cannot be represented exactly.
[[nodiscard]] std::optional<std::uint64_t>
json_number(const boost::json::value& value);

} // namespace tamarackhoist::transport

#endif
