#include "upstream_notice.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;

namespace
{

/// Longer pauses count as this long, which is within the range of a duration.
constexpr double max_pause_s = 365.0 * 24.0 * 3600.0;

std::optional<runtime::duration> parse_seconds(std::string_view text)
{
    double seconds = 0.0;
    const auto* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
    if (!is_number || !std::isfinite(seconds) || std::signbit(seconds)) {
        return std::nullopt;
    }
    return runtime::from_seconds(std::min(seconds, max_pause_s));
}

} // namespace

upstream_notice read_upstream_notice(const transport::http_response& response,
                                     const forward_fields& fields)
{
    upstream_notice notice;
    notice.is_leaving = response[fields.leaving] == "1";
    const auto retry_after = response.find(http::field::retry_after);
    if (response.result() == http::status::service_unavailable &&
        retry_after != response.end()) {
        const auto value = retry_after->value();
        notice.pause = parse_seconds({value.data(), value.size()});
        notice.is_pause_malformed = !notice.pause;
    }
    return notice;
}

} // namespace tamarackhoist::node
