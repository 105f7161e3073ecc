#include <tamarackhoist/node/operator_server.hpp>

#include <utility>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using transport::http_server;

operator_server::operator_server(const runtime::audit_trail& audit,
                                 const operators::metrics& measured,
                                 hooks actions)
    : audit_(audit), metrics_(measured), actions_(std::move(actions))
{
}

runtime::result<std::unique_ptr<operator_server>, std::string>
operator_server::create(boost::asio::any_io_executor executor,
                        const transport::endpoint& where,
                        const runtime::audit_trail& audit,
                        const operators::metrics& measured, hooks actions)
{
    std::unique_ptr<operator_server> created(
        new operator_server(audit, measured, std::move(actions)));
    auto* self = created.get();
    BOOST_OUTCOME_TRY(
        self->server_,
        http_server::create(std::move(executor), where, {},
                            [self](const transport::http_request& request,
                                   const http_server::respond& respond) {
                                self->handle(request, respond);
                            }));
    return created;
}

void operator_server::handle(const transport::http_request& request,
                             const http_server::respond& respond)
{
    const std::string target(request.target());
    const auto query_begin = target.find('?');
    const auto path = target.substr(0, query_begin);
    if (path == operators::status_path) {
        actions_.render_status([respond](std::string text) {
            respond(transport::make_json(http::status::ok, std::move(text)));
        });
        return;
    }
    if (path == operators::audit_path) {
        respond(transport::make_json(
            http::status::ok, operators::encode_audit(audit_.entries())));
        return;
    }
    if (path == operators::metrics_path) {
        respond(transport::make_response(http::status::ok, metrics_.render(),
                                         "text/plain; version=0.0.4"));
        return;
    }
    if (path == operators::explain_path && query_begin != std::string::npos) {
        // The query string is `index=NAME`.
        const auto equals = target.find('=', query_begin);
        const auto index = equals == std::string::npos
                               ? std::string()
                               : target.substr(equals + 1);
        respond(
            transport::make_json(http::status::ok, actions_.explain(index)));
        return;
    }
    respond(transport::make_json(http::status::not_found,
                                 R"({"error":"no such path"})"));
}

} // namespace tamarackhoist::node
