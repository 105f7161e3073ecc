#ifndef TAMARACKHOIST_CALLERS_CALLER_SERVER_HPP
#define TAMARACKHOIST_CALLERS_CALLER_SERVER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/transport/http_server.hpp>

namespace tamarackhoist::callers
{

/// Serves the API for callers and translates between it and the policy's
/// types.
class caller_server
{
public:
    struct hooks {
        std::function<void(caller_query,
                           std::function<void(policy::query_answer)>)>
            on_query;
        /// Issues a ticket, or nothing when too many are outstanding.
        std::function<std::optional<policy::order_ticket>(
            const caller_ticket_request&)>
            on_ticket;
        std::function<void(caller_order, policy::order_ticket,
                           std::function<void(policy::order_outcome)>)>
            on_order;
        /// Returns whether the node takes new work.
        std::function<bool()> is_ready;
        /// Returns whether the document knows the caller.
        std::function<bool(const std::string&)> is_known_caller;
    };

    [[nodiscard]] static runtime::result<std::unique_ptr<caller_server>,
                                         std::string>
    create(boost::asio::any_io_executor executor,
           const transport::endpoint& where, hooks actions);

    void start() { server_->start(); }
    void stop() { server_->stop(); }

    /// Refuses new work as not run from now on.
    void refuse_new_work() { is_refusing_ = true; }

    [[nodiscard]] std::size_t requests_in_flight() const
    {
        return server_->requests_in_flight();
    }

private:
    explicit caller_server(hooks actions);

    void handle(const transport::http_request& request,
                transport::http_server::respond respond);
    [[nodiscard]] std::optional<transport::http_response>
    refusal_of(const caller_context& context) const;
    void handle_query(const transport::http_request& request,
                      transport::http_server::respond respond);
    void handle_ticket(const transport::http_request& request,
                       const transport::http_server::respond& respond);
    void handle_order(const transport::http_request& request,
                      transport::http_server::respond respond);

    const hooks actions_;
    std::atomic<bool> is_refusing_{false};
    std::shared_ptr<transport::http_server> server_;
};

} // namespace tamarackhoist::callers

#endif
