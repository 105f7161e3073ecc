#ifndef TAMARACKHOIST_TRANSPORT_BROKEN_RESPONSES_HPP
#define TAMARACKHOIST_TRANSPORT_BROKEN_RESPONSES_HPP

#include <string>
#include <vector>

/// Responses that are not valid HTTP/1.1, for stand-ins of servers. Each head
/// holds `fields`, which are complete lines. Up to its fault, each response is
/// one that a client could accept.
namespace tamarackhoist::transport
{

/// A short body and the field that states its length.
inline const std::string sized_body = "Content-Length: 4\r\n\r\nbody";

/// Status codes outside 100 to 599, and codes that have not three digits.
[[nodiscard]] inline std::vector<std::string>
make_invalid_statuses(const std::string& fields)
{
    std::vector<std::string> responses;
    for (const std::string status :
         {"000", "001", "099", "600", "999", "20", "2000", "2x0", "-20"}) {
        responses.push_back("HTTP/1.1 " + status + " OK\r\n" + fields +
                            sized_body);
    }
    return responses;
}

/// Field names that hold a blank or a control byte.
[[nodiscard]] inline std::vector<std::string>
make_invalid_field_names(const std::string& fields)
{
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    std::vector<std::string> responses;
    for (const std::string name :
         {"X Name", "X-Name ", "X-Name\t", "X-\x01Name", "X-\x7fName",
          "X-\rName", "X-\nName", "\x01X-Name", ""}) {
        const auto line = name + ": value\r\n";
        responses.push_back(status_line + fields + line + sized_body);
        responses.push_back(status_line + line + fields + sized_body);
    }
    const std::string nul_name("X-\0Name: value\r\n", 16);
    responses.push_back(status_line + fields + nul_name + sized_body);
    responses.push_back(status_line + fields +
                        "Content-Length : 4\r\n\r\nbody");
    return responses;
}

/// Lines that begin with a blank. They have a field name that holds a blank, or
/// continue the line before them: one reader sees a field, or the end of the
/// head, where another sees part of a value.
[[nodiscard]] inline std::vector<std::string>
make_folded_heads(const std::string& fields)
{
    const auto beginning =
        "HTTP/1.1 200 OK\r\n" + fields + "X-First: value\r\n";
    return {
        beginning + " X-Second: value\r\n" + sized_body,
        beginning + "\tX-Second: value\r\n" + sized_body,
        beginning + " \r\n" + sized_body,
        beginning + "X-Empty:\r\n X-Second: value\r\n" + sized_body,
        beginning + "X-Empty: \r\n\t\r\n" + sized_body,
        beginning + " Content-Length: 4\r\n\r\nbody",
        beginning + " Transfer-Encoding: chunked\r\n\r\n"
                    "4\r\nbody\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n X-First: value\r\n" + fields + sized_body,
    };
}

/// Transfer codings other than "chunked", which no request has asked for. The
/// body that they state cannot be told, or is encoded.
[[nodiscard]] inline std::vector<std::string>
make_unsupported_codings(const std::string& fields)
{
    const std::string chunked_body = "\r\n4\r\nbody\r\n0\r\n\r\n";
    std::vector<std::string> responses;
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, identity", "chunked, chunked",
          "xchunked", "chunked;a=b", ""}) {
        responses.push_back("HTTP/1.1 200 OK\r\n" + fields +
                            "Transfer-Encoding: " + coding + "\r\n" +
                            chunked_body);
    }
    responses.push_back("HTTP/1.1 200 OK\r\n" + fields +
                        "Transfer-Encoding: gzip\r\n"
                        "Transfer-Encoding: chunked\r\n" +
                        chunked_body);
    responses.push_back("HTTP/1.1 200 OK\r\n" + fields +
                        "Transfer-Encoding: identity\r\n" + sized_body);
    responses.push_back("HTTP/1.1 200 OK\r\n" + fields +
                        "Transfer-Encoding: chunked\r\n" + sized_body);
    responses.push_back("HTTP/1.0 200 OK\r\n" + fields +
                        "Transfer-Encoding: chunked\r\n" + chunked_body);
    return responses;
}

/// A chunked response. `trailer` consists of complete lines.
[[nodiscard]] inline std::string
make_response_with_trailer(const std::string& fields,
                           const std::string& trailer)
{
    return "HTTP/1.1 200 OK\r\n" + fields +
           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer +
           "\r\n";
}

/// Chunked responses whose trailer holds lines that are not fields, or states
/// how the body is framed.
[[nodiscard]] inline std::vector<std::string>
make_invalid_trailers(const std::string& fields)
{
    std::vector<std::string> responses;
    for (const std::string line :
         {"X Name: value", "X-Name : value", " X-Name: value",
          "X-\x01Name: value", "X-Name: \x01", "X-Name", ": value",
          "X-First: value\r\n X-Second: value", "Content-Length: 4",
          "Transfer-Encoding: chunked"}) {
        responses.push_back(make_response_with_trailer(fields, line + "\r\n"));
    }
    return responses;
}

/// Chunked responses whose framing is not valid.
[[nodiscard]] inline std::vector<std::string>
make_invalid_chunks(const std::string& fields)
{
    std::vector<std::string> responses;
    for (const std::string chunks :
         {"x\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n",
          "+4\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
          "4 \r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n",
          "\r\nbody\r\n0\r\n\r\n", "3\r\nbody\r\n0\r\n\r\n",
          "5\r\nbody\r\n0\r\n\r\n", "4\nbody\n0\n\n",
          "10000000000000004\r\nbody\r\n0\r\n\r\n",
          "ffffffffffffffff\r\nbody\r\n0\r\n\r\n",
          "4;a\x01=b\r\nbody\r\n0\r\n\r\n", "4\r\nbody\r\n0x\r\n\r\n",
          "4\r\nbody\r\n", "4\r\nbody\r\n0\r\n", "4\r\nbo"}) {
        responses.push_back("HTTP/1.1 200 OK\r\n" + fields +
                            "Transfer-Encoding: chunked\r\n\r\n" + chunks);
    }
    return responses;
}

} // namespace tamarackhoist::transport

#endif
