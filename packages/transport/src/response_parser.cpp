#include <tamarackhoist/transport/response_parser.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace tamarackhoist::transport
{

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

namespace
{

/// Returns whether HTTP defines the class of the status code, and allows it in
/// a response to a request that does not ask for another protocol.
bool is_valid_status(int status)
{
    constexpr int min_status = 100;
    constexpr int max_status = 599;
    constexpr int switching_protocols = 101;
    return status >= min_status && status <= max_status &&
           status != switching_protocols;
}

/// Returns whether the value was continued on further lines, each of which
/// begins with a blank. Beast joins them in memory of its own; any other value
/// lies in the received bytes, behind the name, the colon and blanks.
bool is_folded(string_view name, string_view value)
{
    const char* begin = name.data() + name.size() + 1;
    while (*begin == ' ' || *begin == '\t') {
        ++begin;
    }
    return value.data() != begin;
}

/// Returns whether the body can be read. Beast decodes no other coding, and
/// looks for chunks only if the last one is "chunked".
bool is_supported_coding(unsigned version, string_view coding)
{
    constexpr unsigned http_1_1 = 11;
    return version >= http_1_1 && boost::beast::iequals(coding, "chunked");
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

void response_parser::on_field_impl(http::field field, string_view name,
                                    string_view value, error_code& error)
{
    // What one reader takes for a continued value is a field to another, which
    // may state where the body ends.
    if (is_folded(name, value)) {
        error = http::error::bad_field;
        return;
    }
    if (is_header_done()) {
        // A field of the trailer must not pass for one of the head, which says
        // whose response it is and whether the request has run.
        return;
    }
    if (field == http::field::transfer_encoding &&
        !is_supported_coding(get().version(), value)) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    get().insert(field, name, value);
}

} // namespace tamarackhoist::transport
