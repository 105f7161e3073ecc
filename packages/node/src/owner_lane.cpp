#include <tamarackhoist/node/owner_lane.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <tamarackhoist/policy/ownership.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::node
{

namespace asio = boost::asio;

namespace
{

policy::sub_reply make_refusal(const policy::sub_request& request,
                               policy::refusal reason)
{
    policy::sub_reply reply;
    reply.id = request.id;
    reply.source = request.target;
    reply.outcome = policy::sub_outcome::not_run;
    reply.reason = reason;
    return reply;
}

} // namespace

owner_lane::owner_lane(asio::any_io_executor strand, runtime::clock clock,
                       policy::node_id self, policy::pause_guard& pause_guard)
    : strand_(std::move(strand)), clock_(std::move(clock)), self_(self),
      pause_guard_(pause_guard)
{
}

owner_lane::owned_upstream*
owner_lane::find_upstream(policy::upstream_id target)
{
    const auto found = owned_.find(target);
    return found == owned_.end() ? nullptr : &found->second;
}

void owner_lane::set_view(cluster_view_pointer view,
                          upstream_filter is_assigned)
{
    asio::post(strand_, [self = shared_from_this(), view = std::move(view),
                         is_assigned = std::move(is_assigned)] {
        self->apply_view(*view, is_assigned);
    });
}

void owner_lane::apply_view(const cluster_view& view,
                            const upstream_filter& is_assigned)
{
    std::set<policy::upstream_id> assigned;
    for (const auto target : view.owners.owned_by(self_)) {
        if (!is_assigned(target)) {
            continue;
        }
        assigned.insert(target);
        const auto* description = view.deployment->find_upstream(target);
        auto* current = find_upstream(target);
        const bool has_changed =
            current != nullptr &&
            (current->owner->description().address != description->address ||
             current->owner->description().port != description->port ||
             current->owner->description().slots != description->slots ||
             current->owner->description().connections !=
                 description->connections);
        if (has_changed && !current->is_released) {
            release(target);
            current = find_upstream(target);
        }
        if (current == nullptr) {
            acquire(*description, *view.deployment);
            continue;
        }
        current->owner->set_classes(view.deployment->classes());
        if (current->is_released && !has_changed) {
            current->is_released = false;
            current->client->start();
        }
    }
    std::vector<policy::upstream_id> lost;
    for (const auto& [target, upstream] : owned_) {
        if (!assigned.contains(target) && !upstream.is_released) {
            lost.push_back(target);
        }
    }
    for (const auto target : lost) {
        release(target);
    }
}

void owner_lane::acquire(const policy::upstream& description,
                         const policy::deployment& deployment)
{
    const auto target = description.id;
    runtime::log_event(runtime::event_number::ownership_changed,
                       "took over upstream " + description.name);
    auto& entry = owned_[target];
    auto self = shared_from_this();
    entry.client = upstreams::upstream_client::create(
        strand_, description, policy::owner_connections(description),
        [self](const policy::sub_request& request) {
            const auto now = self->clock_.now();
            return self->can_start_requests(now) &&
                   policy::has_time_to_send(request, now);
        },
        clock_,
        [self, target](policy::request_id id, policy::upstream_report report) {
            auto* upstream = self->find_upstream(target);
            if (upstream == nullptr) {
                return;
            }
            upstream->owner->finish(id, std::move(report), self->clock_.now());
            self->arm_timer(target);
            self->erase_if_idle(target);
        },
        [self, target](const policy::upstream_report& report) {
            auto* upstream = self->find_upstream(target);
            if (upstream == nullptr) {
                return;
            }
            upstream->owner->on_health(report, self->clock_.now());
            self->arm_timer(target);
        });
    // The hooks share ownership of the client, so that it outlives every call
    // that they make. Both are destroyed with the entry.
    auto client = entry.client;
    entry.owner = std::make_unique<policy::upstream_owner>(
        description, deployment.classes(),
        policy::upstream_owner::hooks{
            [client](const policy::sub_request& request) {
                client->dispatch(request);
            },
            [client](policy::request_id id) { client->abort(id); },
            [self, target](policy::sub_reply reply) {
                self->deliver_reply(target, std::move(reply));
            },
            [self](runtime::time_point now) {
                return self->can_start_requests(now);
            }});
    entry.timer = std::make_unique<asio::steady_timer>(strand_);
    if (announced_drains_.contains(target)) {
        entry.owner->set_listed_leaving(true, clock_.now());
    }
    entry.client->start();
}

bool owner_lane::can_start_requests(runtime::time_point now)
{
    pause_guard_.observe(now);
    return pause_guard_.can_start_work(now);
}

void owner_lane::release(policy::upstream_id target)
{
    auto* upstream = find_upstream(target);
    upstream->is_released = true;
    runtime::log_event(runtime::event_number::ownership_changed,
                       "handed over upstream " +
                           upstream->owner->description().name);
    upstream->owner->refuse_queued(policy::refusal::not_owner, clock_.now());
    upstream->client->stop();
    erase_if_idle(target);
}

void owner_lane::erase_if_idle(policy::upstream_id target)
{
    auto* upstream = find_upstream(target);
    if (upstream == nullptr || !upstream->is_released ||
        !upstream->owner->is_idle()) {
        return;
    }
    // Erases the entry in a separate handler, because this function may run
    // inside a callback of the owner or the client that the entry holds.
    asio::post(strand_, [self = shared_from_this(), target] {
        auto* current = self->find_upstream(target);
        if (current != nullptr && current->is_released &&
            current->owner->is_idle()) {
            self->owned_.erase(target);
        }
    });
}

void owner_lane::submit(policy::sub_request request, reply_handler on_reply)
{
    asio::post(strand_,
               [self = shared_from_this(), request = std::move(request),
                on_reply = std::move(on_reply)]() mutable {
                   self->handle_submit(std::move(request), std::move(on_reply));
               });
}

void owner_lane::handle_submit(policy::sub_request request,
                               reply_handler on_reply)
{
    const auto now = clock_.now();
    auto* upstream = find_upstream(request.target);
    if (upstream == nullptr || upstream->is_released) {
        on_reply(make_refusal(request, policy::refusal::not_owner));
        return;
    }
    const auto target = request.target;
    upstream->replies[request.id] = std::move(on_reply);
    upstream->owner->submit(std::move(request), now);
    arm_timer(target);
}

void owner_lane::deliver_reply(policy::upstream_id target,
                               policy::sub_reply reply)
{
    auto* upstream = find_upstream(target);
    const auto found = upstream->replies.find(reply.id);
    if (found == upstream->replies.end()) {
        return;
    }
    const auto on_reply = std::move(found->second);
    upstream->replies.erase(found);
    on_reply(std::move(reply));
}

void owner_lane::cancel(policy::request_id id, policy::upstream_id target)
{
    asio::post(strand_, [self = shared_from_this(), id, target] {
        auto* upstream = self->find_upstream(target);
        if (upstream == nullptr) {
            return;
        }
        upstream->owner->cancel(id, self->clock_.now());
    });
}

void owner_lane::set_announced_drain(policy::upstream_id target,
                                     bool is_draining)
{
    asio::post(strand_, [self = shared_from_this(), target, is_draining] {
        if (is_draining) {
            self->announced_drains_.insert(target);
        } else {
            self->announced_drains_.erase(target);
        }
        if (auto* upstream = self->find_upstream(target)) {
            upstream->owner->set_listed_leaving(is_draining,
                                                self->clock_.now());
        }
    });
}

void owner_lane::arm_timer(policy::upstream_id target)
{
    auto* upstream = find_upstream(target);
    if (upstream == nullptr) {
        return;
    }
    const auto wakeup = upstream->owner->next_wakeup();
    if (!wakeup) {
        return;
    }
    upstream->timer->expires_after(
        runtime::non_negative(*wakeup - clock_.now()));
    upstream->timer->async_wait(
        [self = shared_from_this(), target](boost::system::error_code error) {
            auto* current = self->find_upstream(target);
            if (error || current == nullptr) {
                return;
            }
            current->owner->advance(self->clock_.now());
            self->arm_timer(target);
        });
}

void owner_lane::report(
    std::function<void(std::vector<operators::upstream_report>)> handler)
{
    asio::post(
        strand_, [self = shared_from_this(), handler = std::move(handler)] {
            std::vector<operators::upstream_report> reports;
            for (const auto& [target, upstream] : self->owned_) {
                const auto& owner = *upstream.owner;
                const auto load = owner.load(0);
                std::string state = "serving";
                if (upstream.is_released) {
                    state = "handed_over";
                } else if (load.is_draining) {
                    state = "draining";
                } else if (load.is_suspect) {
                    state = "suspect";
                }
                reports.push_back(
                    {owner.description().name,
                     owner.description().failure_domain, std::move(state),
                     owner.queued(), owner.in_flight(), owner.limit(),
                     upstream.client->connection_count(), load.versions.high});
            }
            handler(std::move(reports));
        });
}

} // namespace tamarackhoist::node
