#ifndef TAMARACKHOIST_CALLERS_CALLER_SERVER_HPP
#define TAMARACKHOIST_CALLERS_CALLER_SERVER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/transport/http_server.hpp>

namespace tamarackhoist::callers
{

/// HTTP server of the API for callers. Converts between the wire format and the
/// types of the policy package.
class caller_server
{
public:
    /// Functions that the server calls; all must be set.
    struct hooks {
        /// Runs a query and passes the answer to the given function.
        std::function<void(caller_query,
                           std::function<void(policy::query_answer)>)>
            on_query;
        /// Issues a ticket. Returns nothing when too many are outstanding.
        std::function<std::optional<policy::order_ticket>(
            const caller_ticket_request&)>
            on_ticket;
        /// Runs an order and passes its outcome to the given function.
        std::function<void(caller_order, policy::order_ticket,
                           std::function<void(policy::order_outcome)>)>
            on_order;
        /// Returns whether the node accepts new work.
        std::function<bool()> is_ready;
        /// Returns whether the configuration document lists the caller.
        std::function<bool(const std::string&)> is_known_caller;
    };

    /// Creates a server that listens on `listen_endpoint`, or returns the
    /// reason why it can't.
    [[nodiscard]] static runtime::result<std::unique_ptr<caller_server>,
                                         std::string>
    create(boost::asio::any_io_executor executor,
           const transport::endpoint& listen_endpoint, hooks handlers);

    void start() { server_->start(); }
    void stop() { server_->stop(); }

    /// From now on, rejects queries and ticket requests as not run and reports
    /// not ready. Orders are still passed on, since the node answers for those
    /// that it knows.
    void refuse_new_work() { is_refusing_new_work_ = true; }

    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return server_->requests_in_flight();
    }

private:
    explicit caller_server(hooks handlers);

    void handle(const transport::http_request& request,
                transport::http_server::respond respond);
    /// Returns the refusal if the node takes no new work or doesn't know the
    /// caller, otherwise nothing.
    [[nodiscard]] std::optional<transport::http_response>
    check_admission(const caller_context& context) const;
    void handle_query(const transport::http_request& request,
                      transport::http_server::respond respond);
    void handle_ticket(const transport::http_request& request,
                       const transport::http_server::respond& respond);
    void handle_order(const transport::http_request& request,
                      transport::http_server::respond respond);

    const hooks hooks_;
    std::atomic<bool> is_refusing_new_work_{false};
    std::shared_ptr<transport::http_server> server_;
};

} // namespace tamarackhoist::callers

#endif
