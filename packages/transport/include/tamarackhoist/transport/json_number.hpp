#ifndef TAMARACKHOIST_TRANSPORT_JSON_NUMBER_HPP
#define TAMARACKHOIST_TRANSPORT_JSON_NUMBER_HPP

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>

namespace tamarackhoist::transport
{

/// Returns the value as a whole number that is not negative, or nothing.
[[nodiscard]] std::optional<std::uint64_t>
json_number(const boost::json::value& value);

} // namespace tamarackhoist::transport

#endif
