#include "forward_message.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <locale>
#include <set>
#include <tamarackhoist/policy/record_merge.hpp>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using callers::forward_answer;
using policy::attempt_result;

namespace
{

constexpr unsigned status_misdirected_request = 421;

/// Hop-by-hop fields, and those that this node sets itself.
constexpr std::array hop_by_hop_fields{http::field::connection,
                                       http::field::keep_alive,
                                       http::field::proxy_connection,
                                       http::field::te,
                                       http::field::trailer,
                                       http::field::transfer_encoding,
                                       http::field::upgrade,
                                       http::field::expect,
                                       http::field::content_length,
                                       http::field::proxy_authenticate,
                                       http::field::proxy_authorization};

std::string to_text(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Orders the names of fields, without regard to case.
struct field_name_order {
    bool operator()(std::string_view left, std::string_view right) const
    {
        return boost::algorithm::ilexicographical_compare(
            left, right, std::locale::classic());
    }
};

using field_names = std::set<std::string, field_name_order>;

/// Returns the names of the fields that the Connection field of `message`
/// declares as hop-by-hop.
field_names read_connection_options(const http::fields& message)
{
    field_names names;
    const auto field = message.find(http::field::connection);
    if (field == message.end()) {
        return names;
    }
    std::string_view rest(field->value().data(), field->value().size());
    while (!rest.empty()) {
        const auto end = std::min(rest.find(','), rest.size());
        names.insert(
            boost::algorithm::trim_copy(std::string(rest.substr(0, end))));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return names;
}

bool is_forwarded(const http::fields::value_type& field,
                  const field_names& excluded)
{
    return std::find(hop_by_hop_fields.begin(), hop_by_hop_fields.end(),
                     field.name()) == hop_by_hop_fields.end() &&
           !excluded.contains(to_text(field.name_string()));
}

bool has_digest(const transport::http_response& response,
                const forward_fields& fields, bool is_fan_out)
{
    const auto field = response.find(fields.digest);
    if (field == response.end() || field->value().empty()) {
        return false;
    }
    // The caller of a fan-out gets a list of digests, separated by commas.
    return !is_fan_out ||
           field->value().find(',') == boost::beast::string_view::npos;
}

} // namespace

std::string make_request_head(const transport::http_request& request,
                              const forward_fields& fields)
{
    std::string head;
    head.append(to_text(request.method_string()));
    head.append(" ");
    head.append(to_text(request.target()));
    head.append(" HTTP/1.1\r\n");
    auto excluded = read_connection_options(request);
    excluded.insert(fields.time_left_ms);
    excluded.insert(fields.expected_upstream);
    for (const auto& field : request) {
        if (!is_forwarded(field, excluded)) {
            continue;
        }
        head.append(to_text(field.name_string())).append(": ");
        head.append(to_text(field.value())).append("\r\n");
    }
    const bool has_body =
        !request.body().empty() ||
        request.find(http::field::content_length) != request.end() ||
        request.chunked();
    if (has_body) {
        head.append("Content-Length: ");
        head.append(std::to_string(request.body().size())).append("\r\n");
    }
    return head;
}

std::optional<runtime::duration>
read_caller_timeout(const transport::http_request& request,
                    const forward_fields& fields)
{
    const auto field = request.find(fields.time_left_ms);
    if (field == request.end()) {
        return std::nullopt;
    }
    const auto value = field->value();
    std::uint32_t milliseconds = 0;
    const auto* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(milliseconds);
}

upstreams::forward_request make_forward_request(const request_content& request,
                                                const std::string& upstream_id,
                                                runtime::duration time_left,
                                                const forward_fields& fields)
{
    using std::chrono::milliseconds;
    constexpr std::size_t separator_bytes = 32;
    const auto time_left_ms = std::max<std::int64_t>(
        1, std::chrono::ceil<milliseconds>(time_left).count());
    upstreams::forward_request copy;
    copy.request_id = request.request_id;
    copy.is_head = request.is_head;
    auto& bytes = copy.bytes;
    bytes.reserve(request.head.size() + request.body.size() +
                  fields.time_left_ms.size() + fields.expected_upstream.size() +
                  upstream_id.size() + separator_bytes);
    bytes.append(request.head);
    bytes.append(fields.time_left_ms).append(": ");
    bytes.append(std::to_string(time_left_ms)).append("\r\n");
    bytes.append(fields.expected_upstream).append(": ");
    bytes.append(upstream_id).append("\r\n\r\n");
    bytes.append(request.body);
    return copy;
}

namespace
{

attempt_result classify_response(const transport::http_response& response,
                                 const forward_fields& fields, bool is_fan_out)
{
    const auto status = response.result_int();
    if (status == status_misdirected_request ||
        response.find(fields.not_executed) != response.end()) {
        return attempt_result::not_executed;
    }
    if (!has_digest(response, fields, is_fan_out)) {
        // Without a valid digest, the response is not from the upstream's
        // application, which may have executed the request.
        return attempt_result::broken;
    }
    const auto kind = transport::get_status_class(response);
    if (kind == http::status_class::successful) {
        return attempt_result::answered;
    }
    if (is_fan_out || kind == http::status_class::server_error) {
        return attempt_result::failed;
    }
    return attempt_result::answered;
}

} // namespace

attempt_result classify(const upstreams::forward_result& result,
                        const forward_fields& fields, bool is_fan_out)
{
    switch (result.status) {
    case upstreams::forward_status::answered:
        return classify_response(result.response, fields, is_fan_out);
    case upstreams::forward_status::not_sent:
    case upstreams::forward_status::withheld:
        return attempt_result::not_sent;
    case upstreams::forward_status::broken:
        return attempt_result::broken;
    }
    return attempt_result::broken;
}

forward_answer make_answer(const transport::http_response& response)
{
    forward_answer answer;
    answer.status = response.result_int();
    answer.reason = to_text(response.reason());
    const auto excluded = read_connection_options(response);
    for (const auto& field : response) {
        if (is_forwarded(field, excluded)) {
            answer.fields.push_back(
                {to_text(field.name_string()), to_text(field.value())});
        }
    }
    answer.body = response.body();
    return answer;
}

forward_answer make_merged_answer(const answer_parts& parts,
                                  std::size_t missing, std::size_t top_records,
                                  const forward_fields& fields)
{
    std::string digests;
    for (const auto digest : parts.digests) {
        if (!digests.empty()) {
            digests.append(", ");
        }
        digests.append(digest);
    }
    forward_answer answer;
    answer.status = static_cast<unsigned>(http::status::ok);
    answer.reason = "OK";
    answer.fields.push_back({fields.shard_digests, std::move(digests)});
    answer.fields.push_back({fields.missing_shards, std::to_string(missing)});
    answer.body = policy::merge_records(parts.records, top_records);
    return answer;
}

} // namespace tamarackhoist::node
