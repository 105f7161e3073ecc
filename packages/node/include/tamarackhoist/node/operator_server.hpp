#ifndef TAMARACKHOIST_NODE_OPERATOR_SERVER_HPP
#define TAMARACKHOIST_NODE_OPERATOR_SERVER_HPP

#include <functional>
#include <memory>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/transport/http_server.hpp>

namespace tamarackhoist::node
{

/// Serves status, audit trail, explanations and metrics to operators.
class operator_server
{
public:
    using text_handler = std::function<void(std::string)>;
    struct hooks {
        /// Renders the status of this node.
        std::function<void(text_handler)> render_status;
        /// Explains where the shards of an index would go.
        std::function<std::string(const std::string& index)> explain;
    };

    [[nodiscard]] static runtime::result<std::unique_ptr<operator_server>,
                                         std::string>
    create(boost::asio::any_io_executor executor,
           const transport::endpoint& where, const runtime::audit_trail& audit,
           const operators::metrics& measured, hooks actions);

    void start() { server_->start(); }
    void stop() { server_->stop(); }

private:
    operator_server(const runtime::audit_trail& audit,
                    const operators::metrics& measured, hooks actions);

    void handle(const transport::http_request& request,
                const transport::http_server::respond& respond);

    const runtime::audit_trail& audit_;
    const operators::metrics& metrics_;
    const hooks actions_;
    std::shared_ptr<transport::http_server> server_;
};

} // namespace tamarackhoist::node

#endif
