#ifndef TAMARACKHOIST_UPSTREAMS_UPSTREAM_CLIENT_HPP
#define TAMARACKHOIST_UPSTREAMS_UPSTREAM_CLIENT_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/transport/http_connection.hpp>
#include <unordered_map>
#include <vector>

namespace tamarackhoist::upstreams
{

/// Connections of one owner to one upstream. They are opened in advance, since
/// opening a connection costs more than a request. All calls and handlers run
/// on one strand.
class upstream_client : public std::enable_shared_from_this<upstream_client>
{
public:
    /// Receives the outcome of a dispatched request, once for each.
    using report_handler =
        std::function<void(policy::request_id, policy::upstream_report)>;
    /// Receives the index versions and the draining state that a health reply
    /// reports.
    using health_handler = std::function<void(policy::upstream_report)>;

    /// Called right before a request is written, since the process may have
    /// been paused after the request was dispatched. If it returns false, the
    /// request is not sent and is reported as shed.
    using write_check = std::function<bool(const policy::sub_request&)>;

    [[nodiscard]] static std::shared_ptr<upstream_client>
    create(boost::asio::any_io_executor strand, policy::upstream description,
           std::uint32_t max_connections, write_check may_write,
           runtime::clock clock, report_handler on_report,
           health_handler on_health);

    /// Opens the connections and starts periodic health checks.
    void start();

    /// Sends a request as soon as a connection is free.
    void dispatch(const policy::sub_request& request);

    /// Aborts a dispatched request. A queued one is reported as abandoned; for
    /// one in flight the connection is closed, which tells the upstream to
    /// stop working on it.
    void abort(policy::request_id id);

    /// Stops health checks, closes all idle connections and opens no more.
    /// Requests in flight complete normally.
    void stop();

    /// Number of connections, including those being established.
    [[nodiscard]] std::size_t connection_count() const
    {
        return connection_count_;
    }

private:
    using connection_pointer = std::shared_ptr<transport::http_connection>;

    upstream_client(boost::asio::any_io_executor strand,
                    policy::upstream description, std::uint32_t max_connections,
                    write_check may_write, runtime::clock clock,
                    report_handler on_report, health_handler on_health);

    void open_connections_ahead();
    void open_connection();
    void on_connected(const connection_pointer& connection, bool is_connected);
    void release(const connection_pointer& connection);
    void drop(const connection_pointer& connection);
    void assign_waiting_requests();
    void send(policy::sub_request request, connection_pointer connection);
    void schedule_health_check();
    void check_health();

    boost::asio::any_io_executor strand_;
    const runtime::clock clock_;
    const policy::upstream description_;
    const std::uint32_t max_connections_;
    const write_check may_write_;
    const report_handler on_report_;
    const health_handler on_health_;
    boost::asio::steady_timer health_timer_;
    std::deque<policy::sub_request> waiting_;
    std::vector<connection_pointer> idle_;
    std::unordered_map<policy::request_id, connection_pointer> busy_;
    std::uint32_t connection_count_ = 0;
    std::uint32_t connecting_count_ = 0;
    bool is_stopped_ = false;
};

} // namespace tamarackhoist::upstreams

#endif
