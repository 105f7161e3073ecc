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

owner_lane::owner_lane(asio::any_io_executor strand, runtime::clock time,
                       policy::node_id self, policy::pause_guard& guard)
    : strand_(std::move(strand)), time_(std::move(time)), self_(self),
      guard_(guard)
{
}

owner_lane::owned_upstream* owner_lane::find(policy::upstream_id target)
{
    const auto found = owned_.find(target);
    return found == owned_.end() ? nullptr : &found->second;
}

void owner_lane::set_view(cluster_view_pointer view, filter is_in_lane)
{
    asio::post(strand_, [self = shared_from_this(), view = std::move(view),
                         is_in_lane = std::move(is_in_lane)] {
        self->apply_view(*view, is_in_lane);
    });
}

void owner_lane::apply_view(const cluster_view& view, const filter& is_in_lane)
{
    std::set<policy::upstream_id> wanted;
    for (const auto target : view.owners.owned_by(self_)) {
        if (!is_in_lane(target)) {
            continue;
        }
        wanted.insert(target);
        const auto* described = view.deployment->find_upstream(target);
        auto* known = find(target);
        const bool has_moved =
            known != nullptr &&
            (known->owner->description().address != described->address ||
             known->owner->description().port != described->port ||
             known->owner->description().slots != described->slots ||
             known->owner->description().connections != described->connections);
        if (has_moved && !known->is_released) {
            release(target);
            known = find(target);
        }
        if (known == nullptr) {
            take_over(*described, *view.deployment);
            continue;
        }
        known->owner->set_classes(view.deployment->classes());
        if (known->is_released && !has_moved) {
            known->is_released = false;
            known->client->start();
        }
    }
    std::vector<policy::upstream_id> unwanted;
    for (const auto& [target, each] : owned_) {
        if (!wanted.contains(target) && !each.is_released) {
            unwanted.push_back(target);
        }
    }
    for (const auto target : unwanted) {
        release(target);
    }
}

void owner_lane::take_over(const policy::upstream& described,
                           const policy::deployment& described_by)
{
    const auto target = described.id;
    runtime::log_event(runtime::event_number::ownership_changed,
                       "took over upstream " + described.name);
    auto& added = owned_[target];
    auto self = shared_from_this();
    added.client = upstreams::upstream_client::create(
        strand_, described, policy::owner_connections(described),
        [self](const policy::sub_request& request) {
            const auto now = self->time_.now();
            return self->may_start(now) &&
                   policy::is_worth_sending(request, now);
        },
        time_,
        [self, target](policy::request_id id, policy::upstream_report report) {
            auto* each = self->find(target);
            if (each == nullptr) {
                return;
            }
            each->owner->finish(id, std::move(report), self->time_.now());
            self->arm_timer(target);
            self->erase_if_idle(target);
        },
        [self, target](const policy::upstream_report& report) {
            auto* each = self->find(target);
            if (each == nullptr) {
                return;
            }
            each->owner->on_health(report, self->time_.now());
            self->arm_timer(target);
        });
    // The client outlives its use by the owner's hooks, and both end with
    // the entry.
    auto client = added.client;
    added.owner = std::make_unique<policy::upstream_owner>(
        described, described_by.classes(),
        policy::upstream_owner::hooks{
            [client](const policy::sub_request& request) {
                client->dispatch(request);
            },
            [client](policy::request_id id) { client->abort(id); },
            [self, target](policy::sub_reply reply) {
                self->deliver(target, std::move(reply));
            },
            [self](runtime::time_point now) {
                return self->may_start(now);
            }});
    added.timer = std::make_unique<asio::steady_timer>(strand_);
    if (listed_leaving_.contains(target)) {
        added.owner->set_listed_leaving(true, time_.now());
    }
    added.client->start();
}

bool owner_lane::may_start(runtime::time_point now)
{
    guard_.observe(now);
    return guard_.is_trusted(now);
}

void owner_lane::release(policy::upstream_id target)
{
    auto* each = find(target);
    each->is_released = true;
    runtime::log_event(runtime::event_number::ownership_changed,
                       "handed over upstream " +
                           each->owner->description().name);
    each->owner->refuse_queued(policy::refusal::not_owner, time_.now());
    each->client->stop();
    erase_if_idle(target);
}

void owner_lane::erase_if_idle(policy::upstream_id target)
{
    auto* each = find(target);
    if (each == nullptr || !each->is_released || !each->owner->is_idle()) {
        return;
    }
    // Erased later: this may run inside a call of the owner or the client.
    asio::post(strand_, [self = shared_from_this(), target] {
        auto* idle = self->find(target);
        if (idle != nullptr && idle->is_released && idle->owner->is_idle()) {
            self->owned_.erase(target);
        }
    });
}

void owner_lane::submit(policy::sub_request request, reply_handler reply)
{
    asio::post(strand_,
               [self = shared_from_this(), request = std::move(request),
                reply = std::move(reply)]() mutable {
                   self->handle_submit(std::move(request), std::move(reply));
               });
}

void owner_lane::handle_submit(policy::sub_request request, reply_handler reply)
{
    const auto now = time_.now();
    auto* each = find(request.target);
    if (each == nullptr || each->is_released) {
        reply(make_refusal(request, policy::refusal::not_owner));
        return;
    }
    const auto target = request.target;
    each->replies[request.id] = std::move(reply);
    each->owner->submit(std::move(request), now);
    arm_timer(target);
}

void owner_lane::deliver(policy::upstream_id target, policy::sub_reply reply)
{
    auto* each = find(target);
    const auto found = each->replies.find(reply.id);
    if (found == each->replies.end()) {
        return;
    }
    const auto handle = std::move(found->second);
    each->replies.erase(found);
    handle(std::move(reply));
}

void owner_lane::cancel(policy::request_id id, policy::upstream_id target)
{
    asio::post(strand_, [self = shared_from_this(), id, target] {
        auto* each = self->find(target);
        if (each == nullptr) {
            return;
        }
        each->owner->cancel(id, self->time_.now());
    });
}

void owner_lane::set_listed_leaving(policy::upstream_id target, bool is_leaving)
{
    asio::post(strand_, [self = shared_from_this(), target, is_leaving] {
        if (is_leaving) {
            self->listed_leaving_.insert(target);
        } else {
            self->listed_leaving_.erase(target);
        }
        if (auto* each = self->find(target)) {
            each->owner->set_listed_leaving(is_leaving, self->time_.now());
        }
    });
}

void owner_lane::arm_timer(policy::upstream_id target)
{
    auto* each = find(target);
    if (each == nullptr) {
        return;
    }
    const auto wakeup = each->owner->next_wakeup();
    if (!wakeup) {
        return;
    }
    each->timer->expires_after(runtime::non_negative(*wakeup - time_.now()));
    each->timer->async_wait(
        [self = shared_from_this(), target](boost::system::error_code error) {
            auto* woken = self->find(target);
            if (error || woken == nullptr) {
                return;
            }
            woken->owner->advance(self->time_.now());
            self->arm_timer(target);
        });
}

void owner_lane::report(
    std::function<void(std::vector<operators::upstream_report>)> handle)
{
    asio::post(
        strand_, [self = shared_from_this(), handle = std::move(handle)] {
            std::vector<operators::upstream_report> reports;
            for (const auto& [target, each] : self->owned_) {
                const auto& owner = *each.owner;
                const auto load = owner.load(0);
                std::string state = "serving";
                if (each.is_released) {
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
                     each.client->connection_count(), load.versions.high});
            }
            handle(std::move(reports));
        });
}

} // namespace tamarackhoist::node
