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

/// HTTP server for operators: node status, audit trail, routing explanations
/// and metrics.
class operator_server
{
public:
    using text_handler = std::function<void(std::string)>;
    struct hooks {
        /// Passes the status of this node, as JSON, to the handler.
        std::function<void(text_handler)> render_status;
        /// Returns, as JSON, the shards of an index with their replicas and
        /// the owner of each replica.
        std::function<std::string(const std::string& index)> explain_routing;
    };

    /// Binds `address`; returns an error if it cannot be bound.
    [[nodiscard]] static runtime::result<std::unique_ptr<operator_server>,
                                         std::string>
    create(boost::asio::any_io_executor executor,
           const transport::endpoint& address,
           const runtime::audit_trail& audit_trail,
           const operators::metrics& metrics, hooks hooks);

    void start() { server_->start(); }
    void stop() { server_->stop(); }

private:
    operator_server(const runtime::audit_trail& audit_trail,
                    const operators::metrics& metrics, hooks hooks);

    void handle(const transport::http_request& request,
                const transport::http_server::respond& respond);

    const runtime::audit_trail& audit_trail_;
    const operators::metrics& metrics_;
    const hooks hooks_;
    std::shared_ptr<transport::http_server> server_;
};

} // namespace tamarackhoist::node

#endif
