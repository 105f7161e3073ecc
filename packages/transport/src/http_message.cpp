#include <tamarackhoist/transport/http_message.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::transport
{

namespace
{

/// Memory that a parsed header field takes besides its name and value.
constexpr std::size_t field_overhead_bytes = 96;

} // namespace

boost::beast::http::status_class get_status_class(const http_response& response)
{
    return boost::beast::http::to_status_class(response.result_int());
}

http_response make_response(boost::beast::http::status status, std::string body,
                            std::string_view media_type)
{
    constexpr unsigned http_1_1 = 11;
    http_response response(status, http_1_1);
    response.set(
        boost::beast::http::field::content_type,
        boost::beast::string_view(media_type.data(), media_type.size()));
    response.body() = std::move(body);
    return response;
}

http_response make_json(boost::beast::http::status status, std::string body)
{
    return make_response(status, std::move(body), "application/json");
}

std::size_t count_field_bytes(const boost::beast::http::fields& fields)
{
    std::size_t bytes = 0;
    for (const auto& field : fields) {
        bytes += field.name_string().size() + field.value().size() +
                 field_overhead_bytes;
    }
    return bytes;
}

std::size_t estimate_field_bytes(std::string_view lines)
{
    const auto count = std::count(lines.begin(), lines.end(), '\n');
    return lines.size() +
           static_cast<std::size_t>(count) * field_overhead_bytes;
}

} // namespace tamarackhoist::transport
