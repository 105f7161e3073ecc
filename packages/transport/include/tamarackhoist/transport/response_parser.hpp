#ifndef TAMARACKHOIST_TRANSPORT_RESPONSE_PARSER_HPP
#define TAMARACKHOIST_TRANSPORT_RESPONSE_PARSER_HPP

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tamarackhoist::transport
{

/// Parses one response and discards its trailer. Every response that this
/// system receives over HTTP/1.1 is read by this parser, since Beast's accepts
/// some that are not valid.
class response_parser : public boost::beast::http::response_parser<
                            boost::beast::http::string_body>
{
private:
    void on_response_impl(int status, boost::beast::string_view reason,
                          int version,
                          boost::system::error_code& error) override;
    void on_field_impl(boost::beast::http::field field,
                       boost::beast::string_view name,
                       boost::beast::string_view value,
                       boost::system::error_code& error) override;
};

} // namespace tamarackhoist::transport

#endif
