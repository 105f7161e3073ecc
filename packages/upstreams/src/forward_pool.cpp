#include <tamarackhoist/upstreams/forward_pool.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace tamarackhoist::upstreams
{

namespace
{

/// Idle time up to which a connection is known to be alive.
constexpr runtime::duration fresh_idle_time = std::chrono::milliseconds(300);

} // namespace

forward_pool::forward_pool(boost::asio::io_context& context,
                           runtime::clock clock, options options)
    : context_(context), clock_(std::move(clock)), options_(std::move(options))
{
}

forward_pool::ticket
forward_pool::send(std::uint32_t priority, connection_use use,
                   request_source request,
                   forward_connection::result_handler handle)
{
    const auto id = next_ticket_++;
    const auto place = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const waiting_request& each) { return each.priority > priority; });
    waiting_.insert(place,
                    {id, priority, use, std::move(request), std::move(handle)});
    dispatch();
    return id;
}

bool forward_pool::cancel(ticket exchange)
{
    const auto waiting = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](const waiting_request& each) { return each.id == exchange; });
    if (waiting != waiting_.end()) {
        waiting_.erase(waiting);
        return false;
    }
    for (const auto& slot : connections_) {
        if (slot.serves == exchange) {
            // Kept alive while it removes itself from the pool.
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
            slot.connection->idle_time() > fresh_idle_time) {
            continue;
        }
        found = &slot;
    }
    if (stale.empty()) {
        return found;
    }
    const auto kept = found != nullptr ? found->connection : nullptr;
    for (const auto& connection : stale) {
        connection->close();
    }
    // Closing removed slots and moved the others.
    for (auto& slot : connections_) {
        if (slot.connection == kept) {
            return &slot;
        }
    }
    return nullptr;
}

void forward_pool::dispatch()
{
    while (!waiting_.empty()) {
        const auto use = waiting_.front().use;
        auto* idle = find_idle(use);
        if (idle == nullptr) {
            break;
        }
        auto request = std::move(waiting_.front());
        waiting_.pop_front();
        run(*idle, std::move(request));
    }
    while (connecting_ < waiting_.size()) {
        if (connection_count() < options_.max_connections()) {
            open();
            continue;
        }
        // A request that needs a fresh connection takes the place of an old
        // idle one.
        const auto old = std::find_if(connections_.begin(), connections_.end(),
                                      [](const pooled_connection& each) {
                                          return each.connection->is_idle();
                                      });
        if (old == connections_.end()) {
            return;
        }
        const auto connection = old->connection;
        connection->close();
    }
}

void forward_pool::run(pooled_connection& slot, waiting_request request)
{
    slot.serves = request.id;
    const auto* connection = slot.connection.get();
    auto self = shared_from_this();
    slot.connection->exchange(
        request.request(),
        [self, connection,
         handle = std::move(request.handle)](forward_result result) {
            for (auto& each : self->connections_) {
                if (each.connection.get() == connection) {
                    each.serves = 0;
                }
            }
            handle(std::move(result));
            self->schedule_dispatch();
        });
}

void forward_pool::schedule_dispatch()
{
    if (is_retired_) {
        retire();
        return;
    }
    if (waiting_.empty()) {
        warm();
        return;
    }
    dispatch();
}

void forward_pool::open()
{
    ++connecting_;
    auto self = shared_from_this();
    auto slot = std::make_shared<std::weak_ptr<forward_connection>>();
    auto connection = forward_connection::create(
        context_, clock_, options_.connection,
        [self, slot](bool is_open) {
            if (const auto opened_connection = slot->lock()) {
                self->opened(opened_connection, is_open);
            }
        },
        [self, slot] {
            if (const auto closed_connection = slot->lock()) {
                self->closed(closed_connection.get());
            }
        });
    *slot = connection;
    opening_.push_back(std::move(connection));
}

void forward_pool::opened(const std::shared_ptr<forward_connection>& connection,
                          bool is_open)
{
    --connecting_;
    std::erase(opening_, connection);
    if (!is_open) {
        fail_waiting();
        return;
    }
    if (is_retired_) {
        connection->close();
        return;
    }
    connections_.push_back({connection, 0});
    dispatch();
}

void forward_pool::fail_waiting()
{
    // With another connection at work the requests wait for that one.
    if (!connections_.empty()) {
        return;
    }
    auto failed = std::exchange(waiting_, {});
    for (auto& each : failed) {
        each.handle({forward_status::not_sent, {}});
    }
}

void forward_pool::closed(const forward_connection* connection)
{
    std::erase_if(connections_, [&](const pooled_connection& each) {
        return each.connection.get() == connection;
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
    while (!is_retired_ && connection_count() < options_.warm_connections() &&
           connection_count() < options_.max_connections()) {
        open();
    }
}

void forward_pool::retire()
{
    is_retired_ = true;
    std::vector<std::shared_ptr<forward_connection>> idle;
    for (const auto& slot : connections_) {
        if (slot.connection->is_idle()) {
            idle.push_back(slot.connection);
        }
    }
    for (const auto& connection : idle) {
        connection->close();
    }
    auto waiting = std::exchange(waiting_, {});
    for (auto& each : waiting) {
        each.handle({forward_status::not_sent, {}});
    }
}

} // namespace tamarackhoist::upstreams
