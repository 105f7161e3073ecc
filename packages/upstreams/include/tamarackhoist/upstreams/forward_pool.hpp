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

/// Which idle connections an exchange may use. An upstream may have dropped a
/// connection that was idle for long without the node noticing, and a request
/// lost on it may or may not have been executed. Requests that must not be
/// executed twice use `fresh`: a connection that was used recently or a new
/// one.
enum class connection_use { any, fresh };

/// Bounded pool of this node's connections to one upstream. Requests that find
/// no free connection are queued by priority. All calls run on the thread of
/// the `io_context`.
class forward_pool : public std::enable_shared_from_this<forward_pool>
{
public:
    struct options {
        forward_connection::options connection;
        /// Returns this node's share of the connections the upstream accepts.
        std::function<std::size_t()> max_connections;
        /// Returns the number of connections to keep open even when no request
        /// needs them.
        std::function<std::size_t()> warm_connections;
        /// Returns whether the upstream may get requests now. Empty if it
        /// always may.
        std::function<bool()> may_send = nullptr;
        /// Called when a request is sent; may be empty.
        std::function<void()> on_sent = nullptr;
    };

    forward_pool(boost::asio::io_context& context, runtime::clock clock,
                 options options);

    /// Identifies an exchange in calls of `cancel`.
    using exchange_id = std::uint64_t;
    /// Builds the request. Called right before it is written, so that the
    /// request states the time left until its deadline.
    using request_source = std::function<forward_request()>;

    /// Sends a request once a connection is free; a lower `priority` value goes
    /// first. `handle` is called once, never from within this call, and not at
    /// all after `cancel`.
    exchange_id send(std::uint32_t priority, connection_use use,
                     request_source request,
                     forward_connection::result_handler handle);

    /// Cancels an exchange without calling its handler. A queued request is
    /// never sent; the connection of a running exchange is closed. Returns
    /// whether the exchange was running, so that its request may have been
    /// executed.
    bool cancel(exchange_id exchange);

    /// Ends queued requests as withheld and closes idle connections if the
    /// upstream must get no request. To be called when that has changed.
    void apply_permission();

    /// Opens connections until there are `options::warm_connections`.
    void warm();

    /// Closes idle connections now and busy ones after their exchange. Queued
    /// requests, and those of later calls of `send`, end as not sent.
    void retire();

    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size() + connecting_count_;
    }

private:
    struct waiting_request {
        exchange_id id = 0;
        std::uint32_t priority = 0;
        connection_use use = connection_use::any;
        request_source request;
        forward_connection::result_handler handle;
    };
    struct pooled_connection {
        std::shared_ptr<forward_connection> connection;
        /// Exchange in progress, 0 if none.
        exchange_id exchange = 0;
    };

    [[nodiscard]] bool may_send() const
    {
        return !options_.may_send || options_.may_send();
    }
    void dispatch();
    void end_waiting_requests(forward_status status);
    void close_idle_connections();
    [[nodiscard]] pooled_connection* find_idle(connection_use use);
    void start_exchange(pooled_connection& slot, waiting_request request);
    void open_connection();
    void on_opened(const std::shared_ptr<forward_connection>& connection,
                   bool is_open);
    void on_closed(const forward_connection* connection);
    void fail_waiting_requests();
    void handle_exchange_end();

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    const options options_;
    std::vector<pooled_connection> connections_;
    std::vector<std::shared_ptr<forward_connection>> opening_;
    /// Ordered by priority, then by arrival.
    std::list<waiting_request> waiting_;
    std::size_t connecting_count_ = 0;
    exchange_id next_exchange_id_ = 1;
    bool is_retired_ = false;
    bool is_dispatch_scheduled_ = false;
};

} // namespace tamarackhoist::upstreams

#endif
