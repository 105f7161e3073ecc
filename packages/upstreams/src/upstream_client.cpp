#include <tamarackhoist/upstreams/upstream_client.hpp>

#include <algorithm>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/upstreams/upstream_wire.hpp>
#include <utility>

namespace tamarackhoist::upstreams
{

using policy::upstream_outcome;

namespace
{

constexpr runtime::duration connect_timeout = std::chrono::milliseconds(250);
constexpr runtime::duration health_interval = std::chrono::seconds(1);
constexpr runtime::duration health_timeout = std::chrono::milliseconds(500);
/// A non-idempotent request waits this long past its deadline for the reply,
/// which tells whether the request was executed.
constexpr runtime::duration order_reply_grace = std::chrono::seconds(10);

} // namespace

std::shared_ptr<upstream_client> upstream_client::create(
    boost::asio::any_io_executor strand, policy::upstream description,
    std::uint32_t max_connections, write_check may_write, runtime::clock clock,
    report_handler on_report, health_handler on_health)
{
    return std::shared_ptr<upstream_client>(new upstream_client(
        std::move(strand), std::move(description), max_connections,
        std::move(may_write), std::move(clock), std::move(on_report),
        std::move(on_health)));
}

upstream_client::upstream_client(boost::asio::any_io_executor strand,
                                 policy::upstream description,
                                 std::uint32_t max_connections,
                                 write_check may_write, runtime::clock clock,
                                 report_handler on_report,
                                 health_handler on_health)
    : strand_(std::move(strand)), clock_(std::move(clock)),
      description_(std::move(description)), max_connections_(max_connections),
      may_write_(std::move(may_write)), on_report_(std::move(on_report)),
      on_health_(std::move(on_health)), health_timer_(strand_)
{
}

void upstream_client::start()
{
    is_stopped_ = false;
    open_connections_ahead();
    schedule_health_check();
}

void upstream_client::open_connections_ahead()
{
    while (!is_stopped_ && connection_count_ < max_connections_) {
        open_connection();
    }
}

void upstream_client::open_connection()
{
    ++connection_count_;
    ++connecting_count_;
    auto connection = transport::http_connection::create(strand_);
    auto self = shared_from_this();
    connection->connect({description_.address, description_.port},
                        connect_timeout, [self, connection](bool is_connected) {
                            self->on_connected(connection, is_connected);
                        });
}

void upstream_client::on_connected(const connection_pointer& connection,
                                   bool is_connected)
{
    --connecting_count_;
    if (is_connected) {
        open_connections_ahead();
        release(connection);
        // On the first connection, also after an outage, fetch the health
        // without waiting for the next periodic check.
        if (connection_count_ - connecting_count_ == 1) {
            check_health();
        }
        return;
    }
    --connection_count_;
    if (connection_count_ == 0) {
        runtime::log_event(runtime::event_number::upstream_unreachable,
                           description_.name);
    }
    // Keep requests queued only while a connection may still become free.
    if (connecting_count_ > 0 || !idle_.empty() || !busy_.empty()) {
        return;
    }
    auto failed = std::exchange(waiting_, {});
    for (const auto& request : failed) {
        policy::upstream_report report;
        report.outcome = upstream_outcome::not_connected;
        on_report_(request.id, std::move(report));
    }
}

void upstream_client::release(const connection_pointer& connection)
{
    if (!connection->is_open() || (is_stopped_ && waiting_.empty())) {
        drop(connection);
        return;
    }
    idle_.push_back(connection);
    auto self = shared_from_this();
    connection->watch_idle([self, connection] {
        const auto found = std::ranges::find(self->idle_, connection);
        if (found == self->idle_.end()) {
            return;
        }
        self->idle_.erase(found);
        --self->connection_count_;
    });
    assign_waiting_requests();
}

void upstream_client::drop(const connection_pointer& connection)
{
    connection->close();
    --connection_count_;
    if (!waiting_.empty()) {
        open_connections_ahead();
    }
}

void upstream_client::dispatch(const policy::sub_request& request)
{
    waiting_.push_back(request);
    assign_waiting_requests();
    if (!waiting_.empty()) {
        open_connections_ahead();
    }
}

void upstream_client::assign_waiting_requests()
{
    while (!waiting_.empty() && !idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (!connection->is_open()) {
            --connection_count_;
            continue;
        }
        auto request = std::move(waiting_.front());
        waiting_.pop_front();
        send(std::move(request), std::move(connection));
    }
}

void upstream_client::send(policy::sub_request request,
                           connection_pointer connection)
{
    const auto id = request.id;
    const auto remaining = request.deadline - clock_.now();
    if (!may_write_(request)) {
        policy::upstream_report report;
        report.outcome = upstream_outcome::shed;
        idle_.push_back(std::move(connection));
        on_report_(id, std::move(report));
        return;
    }
    const auto timeout =
        request.is_idempotent ? remaining : remaining + order_reply_grace;
    busy_[id] = connection;
    auto encoded = encode_request(request, remaining);
    auto self = shared_from_this();
    connection->exchange(
        std::move(encoded), timeout,
        [self, id, connection, request = std::move(request)](
            const transport::exchange_result& result) {
            self->busy_.erase(id);
            policy::upstream_report report;
            if (result.status == transport::exchange_status::answered) {
                report = decode_reply(request, result.response);
            } else if (result.status == transport::exchange_status::not_sent) {
                report.outcome = upstream_outcome::not_connected;
            }
            self->release(connection);
            self->on_report_(id, std::move(report));
        });
}

void upstream_client::abort(policy::request_id id)
{
    const auto waiting =
        std::ranges::find(waiting_, id, &policy::sub_request::id);
    if (waiting != waiting_.end()) {
        waiting_.erase(waiting);
        policy::upstream_report report;
        report.outcome = upstream_outcome::abandoned;
        on_report_(id, std::move(report));
        return;
    }
    const auto found = busy_.find(id);
    if (found != busy_.end()) {
        found->second->close();
    }
}

void upstream_client::stop()
{
    is_stopped_ = true;
    health_timer_.cancel();
    for (const auto& connection : std::exchange(idle_, {})) {
        drop(connection);
    }
}

void upstream_client::schedule_health_check()
{
    if (is_stopped_) {
        return;
    }
    health_timer_.expires_after(health_interval);
    auto self = shared_from_this();
    health_timer_.async_wait([self](boost::system::error_code error) {
        if (error || self->is_stopped_) {
            return;
        }
        self->check_health();
    });
}

void upstream_client::check_health()
{
    if (idle_.empty()) {
        // Every connection is busy or lost. Replies on busy connections carry
        // the same state; without any connection, try to reconnect.
        if (connection_count_ == 0) {
            open_connection();
        }
        schedule_health_check();
        return;
    }
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    auto self = shared_from_this();
    connection->exchange(
        encode_health_request(), health_timeout,
        [self, connection](const transport::exchange_result& result) {
            self->release(connection);
            if (result.status == transport::exchange_status::answered) {
                self->on_health_(decode_reply({}, result.response));
            }
            self->schedule_health_check();
        });
}

} // namespace tamarackhoist::upstreams
