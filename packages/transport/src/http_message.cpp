#include <tamarackhoist/transport/http_message.hpp>

#include <utility>

namespace tamarackhoist::transport
{

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

} // namespace tamarackhoist::transport
