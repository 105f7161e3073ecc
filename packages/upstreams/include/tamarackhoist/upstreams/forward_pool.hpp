#ifndef TAMARACKHOIST_UPSTREAMS_FORWARD_POOL_HPP
#define TAMARACKHOIST_UPSTREAMS_FORWARD_POOL_HPP

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/upstreams/forward_connection.hpp>
#include <vector>

namespace tamarackhoist::upstreams
{

/// Whether an exchange may use a connection that has been idle for long. An
/// upstream may have dropped it unseen, and then nobody can tell whether the
/// request was executed.
enum class connection_use { any, fresh };

/// Connections of this node to one upstream, bounded in number. Requests
/// that find none free wait in order of urgency. All calls run on the thread
/// of the `io_context`.
class forward_pool : public std::enable_shared_from_this<forward_pool>
{
public:
    struct options {
        forward_connection::options connection;
        /// Returns this node's share of the connections the upstream accepts.
        std::function<std::size_t()> max_connections;
        /// Returns the number of connections to open ahead of need.
        std::function<std::size_t()> warm_connections;
    };

    forward_pool(boost::asio::io_context& context, runtime::clock clock,
                 options options);

    /// One exchange that was asked for. Identifies it for `cancel`.
    using ticket = std::uint64_t;
    /// Returns the request in the form to write, made when it is written, so
    /// that it states the time that is left then.
    using request_source = std::function<forward_request()>;

    /// Sends a request once a connection is free. `handle` is called once,
    /// not from within this call.
    ticket send(std::uint32_t priority, connection_use use,
                request_source request,
                forward_connection::result_handler handle);

    /// Gives an exchange up: a waiting one is never sent, the connection of a
    /// running one is closed. No result is reported. Returns whether the
    /// request was written.
    bool cancel(ticket exchange);

    /// Opens connections ahead of need.
    void warm();

    /// Closes idle connections, and busy ones once they are answered.
    void retire();

    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size() + connecting_;
    }

private:
    struct waiting_request {
        ticket id = 0;
        std::uint32_t priority = 0;
        connection_use use = connection_use::any;
        request_source request;
        forward_connection::result_handler handle;
    };
    struct pooled_connection {
        std::shared_ptr<forward_connection> connection;
        ticket serves = 0;
    };

    void dispatch();
    [[nodiscard]] pooled_connection* find_idle(connection_use use);
    void run(pooled_connection& slot, waiting_request request);
    void open();
    void opened(const std::shared_ptr<forward_connection>& connection,
                bool is_open);
    void closed(const forward_connection* connection);
    void fail_waiting();
    void schedule_dispatch();

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    const options options_;
    std::vector<pooled_connection> connections_;
    std::vector<std::shared_ptr<forward_connection>> opening_;
    /// In order of priority, then of arrival.
    std::list<waiting_request> waiting_;
    std::size_t connecting_ = 0;
    ticket next_ticket_ = 1;
    bool is_retired_ = false;
    bool is_dispatch_scheduled_ = false;
};

} // namespace tamarackhoist::upstreams

#endif
