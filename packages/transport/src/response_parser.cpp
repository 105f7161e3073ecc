#include <tamarackhoist/transport/response_parser.hpp>

#include <boost/beast/http/error.hpp>

namespace tamarackhoist::transport
{

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

namespace
{

/// Returns whether HTTP defines the class of the status code.
bool is_valid_status(int status)
{
    constexpr int min_status = 100;
    constexpr int max_status = 599;
    return status >= min_status && status <= max_status;
}

} // namespace

void response_parser::on_response_impl(int status, string_view reason,
                                       int version, error_code& error)
{
    if (!is_valid_status(status)) {
        error = http::error::bad_status;
        return;
    }
    auto& response = get();
    response.result(static_cast<unsigned>(status));
    response.version(static_cast<unsigned>(version));
    response.reason(reason);
}

} // namespace tamarackhoist::transport
