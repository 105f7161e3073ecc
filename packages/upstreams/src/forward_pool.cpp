#include <tamarackhoist/upstreams/forward_pool.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace tamarackhoist::upstreams
{

namespace
{

/// Idle time up to which a connection counts as `connection_use::fresh`, since
/// the upstream won't have dropped it yet.
constexpr runtime::duration max_fresh_idle_time =
    std::chrono::milliseconds(300);

} // namespace

forward_pool::forward_pool(boost::asio::io_context& context,
                           runtime::clock clock, options options)
    : context_(context), clock_(std::move(clock)), options_(std::move(options))
{
}

forward_pool::exchange_id
forward_pool::send(std::uint32_t priority, connection_use use,
                   request_source request,
                   forward_connection::result_handler handle)
{
    const auto id = next_exchange_id_++;
    if (is_retired_ || !may_send()) {
        const auto status =
            is_retired_ ? forward_status::not_sent : forward_status::withheld;
        boost::asio::post(context_, [status, handle = std::move(handle)] {
            handle({status, {}});
        });
        return id;
    }
    const auto position = std::find_if(waiting_.begin(), waiting_.end(),
                                       [&](const waiting_request& queued) {
                                           return queued.priority > priority;
                                       });
    waiting_.insert(position,
                    {id, priority, use, std::move(request), std::move(handle)});
    dispatch();
    return id;
}

bool forward_pool::cancel(exchange_id exchange)
{
    const auto waiting = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const waiting_request& queued) { return queued.id == exchange; });
    if (waiting != waiting_.end()) {
        waiting_.erase(waiting);
        return false;
    }
    for (const auto& slot : connections_) {
        if (slot.exchange == exchange) {
            // Closing removes the connection from the pool; this copy keeps
            // it alive meanwhile.
            const auto connection = slot.connection;
            connection->close();
            return true;
        }
    }
    return false;
}

forward_pool::pooled_connection* forward_pool::find_idle(connection_use use)
{
    std::vector<std::shared_ptr<forward_connection>> stale;
    pooled_connection* found = nullptr;
    for (auto& slot : connections_) {
        if (!slot.connection->is_idle()) {
            continue;
        }
        if (slot.connection->is_stale()) {
            stale.push_back(slot.connection);
            continue;
        }
        if (use == connection_use::fresh &&
            slot.connection->idle_time() > max_fresh_idle_time) {
            continue;
        }
        found = &slot;
    }
    if (stale.empty()) {
        return found;
    }
    const auto found_connection =
        found != nullptr ? found->connection : nullptr;
    for (const auto& connection : stale) {
        connection->close();
    }
    // Closing connections erased their slots and moved the others, so `found`
    // is no longer valid.
    for (auto& slot : connections_) {
        if (slot.connection == found_connection) {
            return &slot;
        }
    }
    return nullptr;
}

void forward_pool::dispatch()
{
    apply_permission();
    while (!waiting_.empty() && may_send()) {
        const auto use = waiting_.front().use;
        auto* idle = find_idle(use);
        if (idle == nullptr) {
            break;
        }
        auto request = std::move(waiting_.front());
        waiting_.pop_front();
        start_exchange(*idle, std::move(request));
    }
    // A request that was just sent may have been the only one allowed for now.
    apply_permission();
    while (connecting_count_ < waiting_.size()) {
        if (connection_count() < options_.max_connections()) {
            open_connection();
            continue;
        }
        // The pool is full. Close an idle connection that the first waiting
        // request can't use, so that a fresh one can replace it.
        const auto old = std::find_if(connections_.begin(), connections_.end(),
                                      [](const pooled_connection& slot) {
                                          return slot.connection->is_idle();
                                      });
        if (old == connections_.end()) {
            return;
        }
        const auto connection = old->connection;
        connection->close();
    }
}

void forward_pool::start_exchange(pooled_connection& slot,
                                  waiting_request request)
{
    if (options_.on_sent) {
        options_.on_sent();
    }
    slot.exchange = request.id;
    const auto* connection = slot.connection.get();
    auto self = shared_from_this();
    slot.connection->exchange(
        request.request(),
        [self, connection,
         handle = std::move(request.handle)](forward_result result) {
            for (auto& pooled : self->connections_) {
                if (pooled.connection.get() == connection) {
                    pooled.exchange = 0;
                }
            }
            handle(std::move(result));
            self->handle_exchange_end();
        });
}

void forward_pool::handle_exchange_end()
{
    if (is_retired_) {
        retire();
        return;
    }
    apply_permission();
    if (waiting_.empty()) {
        warm();
        return;
    }
    dispatch();
}

void forward_pool::open_connection()
{
    ++connecting_count_;
    auto self = shared_from_this();
    auto slot = std::make_shared<std::weak_ptr<forward_connection>>();
    auto connection = forward_connection::create(
        context_, clock_, options_.connection,
        [self, slot](bool is_open) {
            if (const auto opened_connection = slot->lock()) {
                self->on_opened(opened_connection, is_open);
            }
        },
        [self, slot] {
            if (const auto closed_connection = slot->lock()) {
                self->on_closed(closed_connection.get());
            }
        });
    *slot = connection;
    opening_.push_back(std::move(connection));
}

void forward_pool::on_opened(
    const std::shared_ptr<forward_connection>& connection, bool is_open)
{
    --connecting_count_;
    std::erase(opening_, connection);
    if (!is_open) {
        fail_waiting_requests();
        return;
    }
    if (is_retired_ || !may_send()) {
        connection->close();
        apply_permission();
        return;
    }
    connections_.push_back({connection, 0});
    dispatch();
}

void forward_pool::fail_waiting_requests()
{
    // While another connection is open, the requests wait for that one.
    if (!connections_.empty()) {
        return;
    }
    end_waiting_requests(forward_status::not_sent);
}

void forward_pool::end_waiting_requests(forward_status status)
{
    auto ended = std::exchange(waiting_, {});
    for (auto& request : ended) {
        request.handle({status, {}});
    }
}

void forward_pool::on_closed(const forward_connection* connection)
{
    std::erase_if(connections_, [&](const pooled_connection& slot) {
        return slot.connection.get() == connection;
    });
    if (is_retired_ || is_dispatch_scheduled_) {
        return;
    }
    is_dispatch_scheduled_ = true;
    boost::asio::post(context_, [self = shared_from_this()] {
        self->is_dispatch_scheduled_ = false;
        if (!self->is_retired_) {
            self->dispatch();
            self->warm();
        }
    });
}

void forward_pool::warm()
{
    while (!is_retired_ && may_send() &&
           connection_count() < options_.warm_connections() &&
           connection_count() < options_.max_connections()) {
        open_connection();
    }
}

void forward_pool::apply_permission()
{
    if (may_send()) {
        return;
    }
    close_idle_connections();
    end_waiting_requests(forward_status::withheld);
}

void forward_pool::retire()
{
    is_retired_ = true;
    close_idle_connections();
    end_waiting_requests(forward_status::not_sent);
}

void forward_pool::close_idle_connections()
{
    std::vector<std::shared_ptr<forward_connection>> idle;
    for (const auto& slot : connections_) {
        if (slot.connection->is_idle()) {
            idle.push_back(slot.connection);
        }
    }
    for (const auto& connection : idle) {
        connection->close();
    }
}

} // namespace tamarackhoist::upstreams
