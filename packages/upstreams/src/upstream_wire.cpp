#include <tamarackhoist/upstreams/upstream_wire.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::upstreams
{

namespace http = boost::beast::http;
namespace json = boost::json;
using policy::upstream_outcome;

namespace
{

constexpr unsigned http_1_1 = 11;

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string_view header_value(const transport::http_response& response,
                              const char* name)
{
    const auto value = response[name];
    return {value.data(), value.size()};
}

std::optional<policy::key_range_set> parse_ranges(std::string_view text)
{
    policy::key_range_set ranges;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto range = parse_range(text.substr(0, comma));
        if (!range) {
            return std::nullopt;
        }
        ranges.add(*range);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return ranges;
}

bool decode_items(std::string_view body,
                  std::vector<policy::result_item>& items)
{
    boost::system::error_code error;
    const auto parsed = json::parse({body.data(), body.size()}, error);
    if (error || !parsed.is_object()) {
        return false;
    }
    const auto* list = parsed.get_object().if_contains("items");
    if (list == nullptr || !list->is_array()) {
        return false;
    }
    for (const auto& element : list->get_array()) {
        const auto* item = element.if_object();
        const auto* key = item == nullptr ? nullptr : item->if_contains("key");
        const auto* value =
            item == nullptr ? nullptr : item->if_contains("value");
        if (key == nullptr || value == nullptr) {
            return false;
        }
        const auto number = transport::json_number(*key);
        if (!number) {
            return false;
        }
        items.push_back({*number, json::serialize(*value)});
    }
    return true;
}

bool decode_answer(const policy::sub_request& request,
                   const transport::http_response& response,
                   policy::upstream_report& report)
{
    if (!request.is_idempotent) {
        report.items.push_back({request.range.begin, response.body()});
        report.covered.add(request.range);
        return true;
    }
    const auto covered = parse_ranges(header_value(response, header::covered));
    const auto version = parse_number(header_value(response, header::version));
    if (!covered || !version) {
        return false;
    }
    report.covered = *covered;
    report.version = *version;
    return decode_items(response.body(), report.items);
}

} // namespace

std::optional<policy::key_range> parse_range(std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto begin = parse_number(text.substr(0, dash));
    const auto end = parse_number(text.substr(dash + 1));
    if (!begin || !end || *begin > *end || *end > policy::key_space_end) {
        return std::nullopt;
    }
    return policy::key_range{*begin, *end};
}

std::string format_ranges(const policy::key_range_set& ranges)
{
    std::string text;
    for (const auto& range : ranges.ranges()) {
        if (!text.empty()) {
            text.append(",");
        }
        text.append(std::to_string(range.begin))
            .append("-")
            .append(std::to_string(range.end));
    }
    return text;
}

transport::http_request encode_request(const policy::sub_request& request,
                                       runtime::duration remaining)
{
    transport::http_request encoded(
        http::verb::post, request.is_idempotent ? shard_path : order_path,
        http_1_1);
    const auto milliseconds = std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(remaining)
               .count());
    encoded.set(http::field::host, "upstream");
    encoded.set(header::request_id, std::to_string(request.id.origin) + "-" +
                                        std::to_string(request.id.serial));
    encoded.set(header::deadline, std::to_string(milliseconds));
    encoded.set(header::version, std::to_string(request.version));
    encoded.set(header::key_range, format_ranges(policy::key_range_set(
                                       std::span(&request.range, 1))));
    if (request.body) {
        encoded.body() = *request.body;
    }
    return encoded;
}

transport::http_request encode_health_request()
{
    transport::http_request encoded(http::verb::get, health_path, http_1_1);
    encoded.set(http::field::host, "upstream");
    return encoded;
}

policy::upstream_report decode_reply(const policy::sub_request& request,
                                     const transport::http_response& response)
{
    policy::upstream_report report;
    report.is_draining = header_value(response, header::draining) == "1";
    const auto versions = parse_range(header_value(response, header::versions));
    if (versions) {
        report.versions = {versions->begin, versions->end};
    }
    switch (response.result()) {
    case http::status::ok:
        report.outcome = decode_answer(request, response, report)
                             ? upstream_outcome::answered
                             : upstream_outcome::broken;
        break;
    case http::status::conflict:
        report.outcome = upstream_outcome::version_unavailable;
        break;
    case http::status::service_unavailable:
        report.outcome = header_value(response, header::not_run) == "1"
                             ? upstream_outcome::shed
                             : upstream_outcome::broken;
        break;
    default:
        report.outcome = upstream_outcome::broken;
        break;
    }
    return report;
}

} // namespace tamarackhoist::upstreams
