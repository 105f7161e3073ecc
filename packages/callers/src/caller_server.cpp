#include <tamarackhoist/callers/caller_server.hpp>

#include <cassert>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::callers
{

namespace http = boost::beast::http;
using transport::http_server;

namespace
{

/// Logs why a request is malformed and returns the refusal.
transport::http_response reject(const std::string& reason)
{
    runtime::log_event(runtime::event_number::caller_request_rejected, reason);
    return encode_not_run(http::status::bad_request, reason);
}

} // namespace

caller_server::caller_server(hooks handlers) : hooks_(std::move(handlers))
{
    assert(hooks_.on_query && hooks_.on_ticket && hooks_.on_order &&
           hooks_.is_ready && hooks_.is_known_caller);
}

runtime::result<std::unique_ptr<caller_server>, std::string>
caller_server::create(boost::asio::any_io_executor executor,
                      const transport::endpoint& listen_endpoint,
                      hooks handlers)
{
    std::unique_ptr<caller_server> created(
        new caller_server(std::move(handlers)));
    auto* self = created.get();
    BOOST_OUTCOME_TRY(
        self->server_,
        http_server::create(std::move(executor), listen_endpoint, {},
                            [self](const transport::http_request& request,
                                   http_server::respond respond) {
                                self->handle(request, std::move(respond));
                            }));
    return created;
}

void caller_server::handle(const transport::http_request& request,
                           http_server::respond respond)
{
    const auto path = request.target();
    if (path == ready_path) {
        const bool is_ready = hooks_.is_ready() && !is_refusing_new_work_;
        respond(transport::make_json(
            is_ready ? http::status::ok : http::status::service_unavailable,
            is_ready ? R"({"ready":true})" : R"({"ready":false})"));
        return;
    }
    if (request.method() != http::verb::post) {
        respond(encode_not_run(http::status::method_not_allowed,
                               "only POST is allowed here"));
        return;
    }
    if (path == query_path) {
        handle_query(request, std::move(respond));
    } else if (path == ticket_path) {
        handle_ticket(request, respond);
    } else if (path == order_path) {
        handle_order(request, std::move(respond));
    } else {
        respond(encode_not_run(http::status::not_found,
                               "path \"" + std::string(path) +
                                   "\" does not exist"));
    }
}

std::optional<transport::http_response>
caller_server::check_admission(const caller_context& context) const
{
    if (is_refusing_new_work_ || !hooks_.is_ready()) {
        return encode_not_run(http::status::service_unavailable,
                              "the node takes no new work");
    }
    if (!hooks_.is_known_caller(context.caller)) {
        return encode_not_run(http::status::forbidden,
                              "caller \"" + context.caller +
                                  "\" is not in the document");
    }
    return std::nullopt;
}

void caller_server::handle_query(const transport::http_request& request,
                                 http_server::respond respond)
{
    auto query = decode_query(request);
    if (!query) {
        respond(reject(query.error()));
        return;
    }
    const auto context = query.value().context;
    if (auto refusal = check_admission(context)) {
        respond(std::move(*refusal));
        return;
    }
    hooks_.on_query(std::move(query).value(),
                    [respond = std::move(respond),
                     context](const policy::query_answer& answer) {
                        respond(encode_answer(context, answer));
                    });
}

void caller_server::handle_ticket(const transport::http_request& request,
                                  const http_server::respond& respond)
{
    const auto ticket_request = decode_ticket_request(request);
    if (!ticket_request) {
        respond(reject(ticket_request.error()));
        return;
    }
    if (auto refusal = check_admission(ticket_request.value().context)) {
        respond(std::move(*refusal));
        return;
    }
    const auto ticket = hooks_.on_ticket(ticket_request.value());
    if (!ticket) {
        respond(encode_not_run(http::status::service_unavailable,
                               "no ticket can be issued now"));
        return;
    }
    respond(encode_ticket(ticket_request.value().context, *ticket));
}

void caller_server::handle_order(const transport::http_request& request,
                                 http_server::respond respond)
{
    auto order = decode_order(request);
    if (!order) {
        respond(reject(order.error()));
        return;
    }
    const auto context = order.value().context;
    const auto ticket = policy::order_ticket::parse(order.value().ticket);
    if (!ticket) {
        respond(encode_not_run(http::status::precondition_required,
                               "header \"Idempotency-Key\" is not a ticket; "
                               "get one from /v1/tickets"));
        return;
    }
    // Even when it takes no new work, the node reports the outcome of orders
    // that it knows, so only unknown callers are refused here.
    if (!hooks_.is_known_caller(context.caller)) {
        respond(encode_not_run(http::status::forbidden,
                               "caller \"" + context.caller +
                                   "\" is not in the document"));
        return;
    }
    hooks_.on_order(std::move(order).value(), *ticket,
                    [respond = std::move(respond),
                     context](const policy::order_outcome& outcome) {
                        respond(encode_outcome(context, outcome));
                    });
}

} // namespace tamarackhoist::callers
