#ifndef TAMARACKHOIST_TRANSPORT_HTTP_MESSAGE_HPP
#define TAMARACKHOIST_TRANSPORT_HTTP_MESSAGE_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string_view>

/// HTTP/1.1 client and server, shared by the packages that talk to callers,
/// upstreams, peers, operators and the platform.
namespace tamarackhoist::transport
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Returns the class of the status code, also of codes that Beast has no name
/// for.
[[nodiscard]] boost::beast::http::status_class
get_status_class(const http_response& response);

/// Returns an HTTP/1.1 response with a body of the given media type.
[[nodiscard]] http_response make_response(boost::beast::http::status status,
                                          std::string body,
                                          std::string_view media_type);

/// Returns an HTTP/1.1 response with `body`, which must be JSON.
[[nodiscard]] http_response make_json(boost::beast::http::status status,
                                      std::string body);

/// Returns the memory that parsed header fields take.
[[nodiscard]] std::size_t
count_field_bytes(const boost::beast::http::fields& fields);

/// Returns about the memory that the header fields on `lines` take once they
/// are parsed.
[[nodiscard]] std::size_t estimate_field_bytes(std::string_view lines);

} // namespace tamarackhoist::transport

#endif
