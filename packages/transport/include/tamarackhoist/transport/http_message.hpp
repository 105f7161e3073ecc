#ifndef TAMARACKHOIST_TRANSPORT_HTTP_MESSAGE_HPP
#define TAMARACKHOIST_TRANSPORT_HTTP_MESSAGE_HPP

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

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

} // namespace tamarackhoist::transport

#endif
