#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::transport
{

std::optional<std::uint64_t> json_number(const boost::json::value& value)
{
    boost::system::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

} // namespace tamarackhoist::transport
