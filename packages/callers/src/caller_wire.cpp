#include <tamarackhoist/callers/caller_wire.hpp>

#include <boost/json.hpp>
#include <charconv>
#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::callers
{

namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr auto caller_header = "Caller";
constexpr auto request_id_header = "Request-Id";
constexpr auto deadline_header = "Deadline-Ms";
constexpr auto idempotency_key_header = "Idempotency-Key";
constexpr std::size_t max_request_id_bytes = 256;
constexpr std::size_t max_ranges = 4096;

runtime::result<caller_context, std::string>
decode_context(const transport::http_request& request)
{
    caller_context context;
    context.caller = std::string(request[caller_header]);
    context.request_id = std::string(request[request_id_header]);
    if (context.caller.empty()) {
        return std::string("header \"Caller\" is missing");
    }
    if (context.request_id.size() > max_request_id_bytes) {
        return std::string("header \"Request-Id\" is too long");
    }
    const auto deadline = request[deadline_header];
    if (!deadline.empty()) {
        std::uint32_t milliseconds = 0;
        const auto* end = deadline.data() + deadline.size();
        const auto parsed = std::from_chars(deadline.data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end ||
            milliseconds == 0) {
            return std::string(
                "header \"Deadline-Ms\" is not a positive whole number");
        }
        context.deadline = std::chrono::milliseconds(milliseconds);
    }
    return context;
}

runtime::result<json::object, std::string>
decode_object(const transport::http_request& request)
{
    boost::system::error_code error;
    auto parsed = json::parse(request.body(), error);
    if (error) {
        return "the body is not JSON: " + error.message();
    }
    if (!parsed.is_object()) {
        return std::string("the body is not a JSON object");
    }
    return std::move(parsed.get_object());
}

std::optional<std::string> decode_name(const json::object& object,
                                       const char* member)
{
    const auto* value = object.if_contains(member);
    if (value == nullptr || !value->is_string() ||
        value->get_string().empty()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::string invalid_name_error(const char* member)
{
    return "member \"" + std::string(member) + "\" is not a name";
}

std::string decode_body(const json::object& object)
{
    const auto* value = object.if_contains("body");
    return value == nullptr ? std::string() : json::serialize(*value);
}

std::optional<policy::key_range> decode_range(const json::value& value)
{
    const auto* pair = value.if_array();
    if (pair == nullptr || pair->size() != 2) {
        return std::nullopt;
    }
    const auto begin = transport::json_number((*pair)[0]);
    const auto end = transport::json_number((*pair)[1]);
    if (!begin || !end || *begin >= *end || *end > policy::key_space_end) {
        return std::nullopt;
    }
    return policy::key_range{*begin, *end};
}

json::array encode_range(const policy::key_range& range)
{
    return json::array{range.begin, range.end};
}

json::value encode_value(const std::string& text)
{
    boost::system::error_code error;
    auto parsed = json::parse(text, error);
    return error ? json::value(text) : parsed;
}

http::status to_http_status(policy::query_status status)
{
    switch (status) {
    case policy::query_status::complete:
    case policy::query_status::partial:
        return http::status::ok;
    case policy::query_status::not_run:
        return http::status::service_unavailable;
    case policy::query_status::failed:
        return http::status::gateway_timeout;
    }
    return http::status::internal_server_error;
}

} // namespace

runtime::result<caller_query, std::string>
decode_query(const transport::http_request& request)
{
    caller_query query;
    BOOST_OUTCOME_TRY(query.context, decode_context(request));
    BOOST_OUTCOME_TRY(const auto object, decode_object(request));
    auto index = decode_name(object, "index");
    if (!index) {
        return invalid_name_error("index");
    }
    query.index = std::move(*index);
    query.body = decode_body(object);
    const auto* ranges = object.if_contains("ranges");
    if (ranges == nullptr) {
        query.ranges.add(policy::whole_key_space);
        return query;
    }
    const auto* list = ranges->if_array();
    if (list == nullptr || list->empty() || list->size() > max_ranges) {
        return std::string("member \"ranges\" is not a list of 1 to 4096 "
                           "ranges");
    }
    for (const auto& element : *list) {
        const auto range = decode_range(element);
        if (!range) {
            return "range " + json::serialize(element) +
                   " is not [begin, end] within the key space";
        }
        query.ranges.add(*range);
    }
    return query;
}

runtime::result<caller_ticket_request, std::string>
decode_ticket_request(const transport::http_request& request)
{
    caller_ticket_request ticket_request;
    BOOST_OUTCOME_TRY(ticket_request.context, decode_context(request));
    BOOST_OUTCOME_TRY(const auto object, decode_object(request));
    auto service = decode_name(object, "service");
    if (!service) {
        return invalid_name_error("service");
    }
    ticket_request.service = std::move(*service);
    return ticket_request;
}

runtime::result<caller_order, std::string>
decode_order(const transport::http_request& request)
{
    caller_order order;
    BOOST_OUTCOME_TRY(order.context, decode_context(request));
    BOOST_OUTCOME_TRY(const auto object, decode_object(request));
    auto service = decode_name(object, "service");
    if (!service) {
        return invalid_name_error("service");
    }
    order.service = std::move(*service);
    order.ticket = std::string(request[idempotency_key_header]);
    order.body = decode_body(object);
    if (const auto* position = object.if_contains("key")) {
        const auto number = transport::json_number(*position);
        if (!number || *number >= policy::key_space_end) {
            return std::string("member \"key\" is not within the key space");
        }
        order.position = *number;
    }
    return order;
}

transport::http_response encode_answer(const caller_context& context,
                                       const policy::query_answer& answer)
{
    json::array answered;
    for (const auto& range : answer.answered.ranges()) {
        answered.push_back(encode_range(range));
    }
    json::array missing;
    for (const auto& part : answer.missing) {
        missing.push_back({{"range", encode_range(part.range)},
                           {"reason", policy::to_string(part.reason)}});
    }
    json::array results;
    for (const auto& item : answer.items) {
        results.push_back(
            {{"key", item.position}, {"value", encode_value(item.value)}});
    }
    const json::object body{
        {"outcome", policy::to_string(answer.status)},
        {"request_id", context.request_id},
        {"index_version", answer.version},
        {"shard_map_epoch", answer.epoch},
        {"coverage", {{"answered", answered}, {"missing", missing}}},
        {"results", results},
    };
    return transport::make_json(to_http_status(answer.status),
                                json::serialize(body));
}

transport::http_response encode_ticket(const caller_context& context,
                                       const policy::order_ticket& ticket)
{
    const json::object body{{"request_id", context.request_id},
                            {"ticket", ticket.to_text()}};
    return transport::make_json(http::status::ok, json::serialize(body));
}

transport::http_response encode_outcome(const caller_context& context,
                                        const policy::order_outcome& outcome)
{
    auto status = http::status::ok;
    if (outcome.status == policy::order_status::not_run) {
        status = http::status::service_unavailable;
    } else if (outcome.status == policy::order_status::unknown) {
        status = http::status::gateway_timeout;
    }
    const json::object body{{"outcome", policy::to_string(outcome.status)},
                            {"request_id", context.request_id},
                            {"reason", outcome.reason},
                            {"result", encode_value(outcome.body)}};
    return transport::make_json(status, json::serialize(body));
}

transport::http_response encode_not_run(http::status status,
                                        std::string_view reason)
{
    const json::object body{{"outcome", "not_run"}, {"reason", reason}};
    return transport::make_json(status, json::serialize(body));
}

} // namespace tamarackhoist::callers
