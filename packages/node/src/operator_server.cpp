#include <tamarackhoist/node/operator_server.hpp>

#include <utility>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using transport::http_server;

operator_server::operator_server(const runtime::audit_trail& audit_trail,
                                 const operators::metrics& metrics, hooks hooks)
    : audit_trail_(audit_trail), metrics_(metrics), hooks_(std::move(hooks))
{
}

runtime::result<std::unique_ptr<operator_server>, std::string>
operator_server::create(boost::asio::any_io_executor executor,
                        const transport::endpoint& address,
                        const runtime::audit_trail& audit_trail,
                        const operators::metrics& metrics, hooks hooks)
{
    std::unique_ptr<operator_server> created(
        new operator_server(audit_trail, metrics, std::move(hooks)));
    auto* self = created.get();
    BOOST_OUTCOME_TRY(
        self->server_,
        http_server::create(std::move(executor), address, {},
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
        hooks_.render_status([respond](std::string text) {
            respond(transport::make_json(http::status::ok, std::move(text)));
        });
        return;
    }
    if (path == operators::audit_path) {
        respond(transport::make_json(
            http::status::ok, operators::encode_audit(audit_trail_.entries())));
        return;
    }
    if (path == operators::metrics_path) {
        respond(transport::make_response(http::status::ok, metrics_.render(),
                                         "text/plain; version=0.0.4"));
        return;
    }
    if (path == operators::explain_path && query_begin != std::string::npos) {
        // The query string has the form `index=NAME`.
        const auto equals = target.find('=', query_begin);
        const auto index = equals == std::string::npos
                               ? std::string()
                               : target.substr(equals + 1);
        respond(transport::make_json(http::status::ok,
                                     hooks_.explain_routing(index)));
        return;
    }
    respond(transport::make_json(http::status::not_found,
                                 R"({"error":"no such path"})"));
}

} // namespace tamarackhoist::node
