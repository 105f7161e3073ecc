#include <tamarackhoist/replay/simulated_node.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace tamarackhoist::replay
{

using policy::upstream_outcome;

namespace
{

/// One-way delay between a node and an upstream in the same failure domain.
constexpr runtime::duration local_link_time = std::chrono::microseconds(100);
constexpr runtime::duration connection_refused_delay =
    std::chrono::milliseconds(1);
constexpr runtime::duration connect_timeout = std::chrono::milliseconds(250);
/// Time until a connection reset tells the sender that the receiving process is
/// gone.
constexpr runtime::duration reset_delay = std::chrono::milliseconds(1);

std::size_t request_number_in_body(const policy::sub_request& request)
{
    return std::stoul(*request.body);
}

} // namespace

simulated_node::simulated_node(simulated_fleet& fleet, std::size_t node_number,
                               std::uint64_t incarnation)
    : fleet_(fleet), node_number_(node_number),
      id_(policy::node_id::from_name("node" + std::to_string(node_number))),
      incarnation_(incarnation),
      context_(policy::hash_pair(id_.value, incarnation)),
      ledger_(id_, incarnation, policy::hash_pair(incarnation, node_number)),
      guard_(fleet.scheduler().now()),
      next_seed_(policy::hash_pair(node_number, incarnation))
{
}

runtime::time_point simulated_node::now() const
{
    return fleet_.scheduler().now();
}

runtime::duration
simulated_node::upstream_delay(const policy::upstream& upstream) const
{
    return fleet_.domain_of(upstream) == fleet_.domain_of(node_number_)
               ? local_link_time
               : fleet_.shape().link_time;
}

void simulated_node::observe_clock()
{
    guard_.observe(now());
}

// Entry side.

void simulated_node::run_query(std::size_t request_number, policy::query query,
                               answer_hook handle)
{
    policy::query_coordinator::hooks hooks;
    hooks.send = [this,
                  request_number](std::span<const policy::sub_request> batch) {
        for (const auto& each : batch) {
            send_to_owner(request_number, each, false);
        }
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        const auto call = open_calls_.find(id);
        if (call == open_calls_.end()) {
            return;
        }
        const auto owner = call->second.owner_number;
        open_calls_.erase(call);
        fleet_.send(node_number_, owner,
                    [this, owner, id, target] {
                        fleet_.node(owner).cancel(id, target);
                    },
                    {});
    };
    hooks.complete = [this, request_number,
                      handle = std::move(handle)](policy::query_answer answer) {
        handle(std::move(answer));
        // The coordinator is still on the call stack, so it is removed by a
        // later task.
        fleet_.run_at_node(node_number_, {}, [this, request_number] {
            queries_.erase(request_number);
        });
    };
    hooks.current_deployment = [this] {
        return deployment_;
    };
    auto& run = queries_[request_number];
    run.coordinator = policy::query_coordinator::builder()
                          .for_query(std::move(query))
                          .with_context(context_)
                          .with_hooks(std::move(hooks))
                          .with_seed(next_seed_++)
                          .build();
    fleet_.count_decision();
    run.coordinator->start(now());
    schedule_timer(queries_, request_number);
}

template <typename Run>
void simulated_node::schedule_timer(std::map<std::size_t, Run>& runs,
                                    std::size_t request_number)
{
    const auto found = runs.find(request_number);
    if (found == runs.end()) {
        return;
    }
    auto& run = found->second;
    const auto next = run.coordinator->next_timer();
    if (!next || (run.timer_due_at && *run.timer_due_at <= *next)) {
        return;
    }
    run.timer_due_at = next;
    fleet_.run_at_node(node_number_, *next - now(),
                       [this, &runs, request_number] {
                           const auto due = runs.find(request_number);
                           if (due == runs.end()) {
                               return;
                           }
                           due->second.timer_due_at.reset();
                           fleet_.count_decision();
                           due->second.coordinator->on_timer(now());
                           schedule_timer(runs, request_number);
                       });
}

void simulated_node::send_to_owner(std::size_t request_number,
                                   const policy::sub_request& request,
                                   bool is_order)
{
    const auto owner_id = owners_.owner_of(request.target);
    const auto owner = owner_id ? fleet_.find_node_number(*owner_id)
                                : std::optional<std::size_t>();
    open_calls_[request.id] = {request_number, owner.value_or(node_number_),
                               is_order};
    const auto to = owner.value_or(node_number_);
    const auto sent_at = now();
    const auto id = request.id;
    fleet_.send(
        node_number_, to,
        [this, to, request_number, request, sent_at] {
            fleet_.node(to).submit(node_number_, request_number, request,
                                   sent_at);
        },
        [this, id] {
            fleet_.run_at_node(node_number_, reset_delay,
                               [this, id] { fail_sub_request(id); });
        });
}

void simulated_node::on_peer_disconnected(std::size_t peer)
{
    std::vector<policy::request_id> lost;
    for (const auto& [id, call] : open_calls_) {
        if (call.owner_number == peer) {
            lost.push_back(id);
        }
    }
    std::ranges::sort(lost);
    for (const auto& id : lost) {
        fail_sub_request(id);
    }
}

void simulated_node::fail_sub_request(policy::request_id id)
{
    policy::sub_reply reply;
    reply.id = id;
    reply.outcome = policy::sub_outcome::failed;
    on_reply(reply);
}

void simulated_node::on_reply(const policy::sub_reply& reply)
{
    const auto found = open_calls_.find(reply.id);
    if (found == open_calls_.end()) {
        return;
    }
    const auto call = found->second;
    open_calls_.erase(found);
    fleet_.count_decision();
    if (call.is_order) {
        const auto run = orders_.find(call.request_number);
        if (run != orders_.end()) {
            run->second.coordinator->on_reply(reply, now());
            schedule_timer(orders_, call.request_number);
        }
        return;
    }
    const auto run = queries_.find(call.request_number);
    if (run != queries_.end()) {
        run->second.coordinator->on_reply(reply, now());
        schedule_timer(queries_, call.request_number);
    }
}

std::optional<policy::order_ticket> simulated_node::issue_ticket()
{
    return ledger_.issue("orders", now());
}

void simulated_node::run_order(std::size_t request_number, policy::order order,
                               const policy::order_ticket& ticket,
                               const outcome_hook& handle)
{
    if (ticket.issuer == id_ && ticket.incarnation == incarnation_) {
        claim_and_run_order(request_number, std::move(order), ticket, handle);
        return;
    }
    const auto issuer = fleet_.find_node_number(ticket.issuer);
    const policy::order_outcome unknown{
        policy::order_status::unknown, "the issuer is not reachable", {}};
    if (live_incarnations_[*issuer] != ticket.incarnation) {
        handle(unknown);
        return;
    }
    // The caller is answered by the reply, by a connection reset or at the
    // deadline, whichever comes first.
    auto pending_handle = std::make_shared<outcome_hook>(handle);
    const auto settle = [pending_handle](const policy::order_outcome& outcome) {
        if (auto hook = std::exchange(*pending_handle, nullptr)) {
            hook(outcome);
        }
    };
    fleet_.run_at_node(node_number_, order.deadline - now(),
                       [settle, unknown] { settle(unknown); });
    const auto remaining = order.deadline - now();
    fleet_.send(
        node_number_, *issuer,
        [this, issuer = *issuer, request_number, order, ticket, remaining,
         settle]() mutable {
            order.deadline = now() + remaining;
            fleet_.node(issuer).claim_and_run_order(
                request_number, std::move(order), ticket,
                [this, issuer, settle](const policy::order_outcome& outcome) {
                    fleet_.send(issuer, node_number_,
                                [settle, outcome] { settle(outcome); }, {});
                });
        },
        [settle, unknown] { settle(unknown); });
}

void simulated_node::claim_and_run_order(std::size_t request_number,
                                         policy::order order,
                                         const policy::order_ticket& ticket,
                                         const outcome_hook& handle)
{
    const auto claimed = ledger_.claim(ticket, order.service, now(), handle);
    if (claimed != policy::order_ledger::claim_result::run) {
        return;
    }
    policy::order_coordinator::hooks hooks;
    hooks.send = [this, request_number](const policy::sub_request& request) {
        send_to_owner(request_number, request, true);
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        const auto call = open_calls_.find(id);
        if (call == open_calls_.end()) {
            return;
        }
        const auto owner = call->second.owner_number;
        fleet_.send(node_number_, owner,
                    [this, owner, id, target] {
                        fleet_.node(owner).cancel(id, target);
                    },
                    {});
    };
    hooks.settle = [this, ticket](const policy::order_outcome& outcome) {
        ledger_.settle(ticket, outcome);
    };
    auto& run = orders_[request_number];
    run.timer_due_at.reset();
    run.coordinator = std::make_unique<policy::order_coordinator>(
        std::move(order), deployment_, context_, std::move(hooks),
        next_seed_++);
    fleet_.count_decision();
    run.coordinator->start(now());
    schedule_timer(orders_, request_number);
}

// Owner side.

void simulated_node::set_membership_view(std::vector<std::uint64_t> alive)
{
    live_incarnations_ = std::move(alive);
    update_ownership();
}

void simulated_node::set_deployment(policy::deployment_pointer deployment)
{
    deployment_ = std::move(deployment);
    context_.directory().set_deployment(*deployment_);
    update_ownership();
}

void simulated_node::update_ownership()
{
    if (!deployment_ || live_incarnations_.empty()) {
        return;
    }
    std::vector<policy::node_view> nodes;
    for (std::size_t peer = 0; peer < live_incarnations_.size(); ++peer) {
        if (live_incarnations_[peer] != 0) {
            nodes.push_back(
                {policy::node_id::from_name("node" + std::to_string(peer)),
                 "domain" + std::to_string(fleet_.domain_of(peer)), false});
        }
    }
    owners_ = policy::ownership(*deployment_, nodes);
    const auto owned_targets = owners_.owned_by(id_);
    for (const auto target : owned_targets) {
        const auto known = owned_upstreams_.find(target);
        if (known == owned_upstreams_.end()) {
            take_over_upstream(*deployment_->find_upstream(target));
        } else {
            known->second.is_released = false;
        }
    }
    std::vector<policy::upstream_id> lost;
    for (const auto& [target, each] : owned_upstreams_) {
        const bool is_owned =
            std::ranges::find(owned_targets, target) != owned_targets.end();
        if (!is_owned && !each.is_released) {
            lost.push_back(target);
        }
    }
    for (const auto target : lost) {
        release_upstream(target);
    }
}

void simulated_node::take_over_upstream(const policy::upstream& description)
{
    const auto target = description.id;
    auto& upstream = owned_upstreams_[target];
    upstream.connected_at = now() + fleet_.shape().connect_time;
    upstream.connections = policy::owner_connections(description);
    fleet_.upstream(target).change_connections(
        static_cast<std::int32_t>(upstream.connections));
    upstream.owner = std::make_unique<policy::upstream_owner>(
        description, deployment_->classes(),
        policy::upstream_owner::hooks{
            [this, target](const policy::sub_request& request) {
                dispatch(target, request);
            },
            [this, target](policy::request_id id) {
                fleet_.upstream(target).abort(id);
                policy::upstream_report abandoned;
                abandoned.outcome = upstream_outcome::abandoned;
                fleet_.run_at_node(node_number_, {},
                                   [this, target, id, abandoned] {
                                       handle_report(target, id, abandoned);
                                   });
            },
            [this, target](const policy::sub_reply& reply) {
                auto& origins = owned_upstreams_[target].origins;
                const auto origin = origins.find(reply.id);
                if (origin == origins.end()) {
                    return;
                }
                const auto entry = origin->second.second;
                origins.erase(origin);
                fleet_.send(node_number_, entry,
                            [this, entry, reply] {
                                fleet_.node(entry).on_reply(reply);
                            },
                            {});
            },
            [this](runtime::time_point at) {
                return can_start_work(at);
            }});
    fleet_.run_at_node(node_number_, fleet_.shape().connect_time,
                       [this, target] { check_health(target); });
}

bool simulated_node::can_start_work(runtime::time_point at)
{
    guard_.observe(at);
    return guard_.can_start_work(at);
}

void simulated_node::release_upstream(policy::upstream_id target)
{
    auto& each = owned_upstreams_.at(target);
    each.is_released = true;
    each.owner->refuse_queued(policy::refusal::not_owner, now());
    if (each.owner->is_idle()) {
        fleet_.upstream(target).change_connections(
            -static_cast<std::int32_t>(each.connections));
        owned_upstreams_.erase(target);
    }
}

void simulated_node::close_connections()
{
    for (auto& [target, each] : owned_upstreams_) {
        fleet_.upstream(target).change_connections(
            -static_cast<std::int32_t>(each.connections));
    }
    owned_upstreams_.clear();
}

void simulated_node::submit(std::size_t from, std::size_t request_number,
                            policy::sub_request request,
                            runtime::time_point sent_at)
{
    fleet_.count_decision();
    request.deadline = now() + (request.deadline - sent_at);
    const auto target = request.target;
    const auto found = owned_upstreams_.find(target);
    if (found == owned_upstreams_.end() || found->second.is_released) {
        policy::sub_reply reply;
        reply.id = request.id;
        reply.source = target;
        reply.outcome = policy::sub_outcome::not_run;
        reply.reason = policy::refusal::not_owner;
        fleet_.send(node_number_, from,
                    [this, from, reply] { fleet_.node(from).on_reply(reply); },
                    {});
        return;
    }
    found->second.origins[request.id] = {request_number, from};
    found->second.owner->submit(std::move(request), now());
    schedule_owner_timer(target);
}

void simulated_node::cancel(policy::request_id id, policy::upstream_id target)
{
    const auto found = owned_upstreams_.find(target);
    if (found == owned_upstreams_.end()) {
        return;
    }
    fleet_.count_decision();
    found->second.owner->cancel(id, now());
}

void simulated_node::schedule_owner_timer(policy::upstream_id target)
{
    const auto found = owned_upstreams_.find(target);
    if (found == owned_upstreams_.end()) {
        return;
    }
    auto& each = found->second;
    const auto next = each.owner->next_wakeup();
    if (!next || (each.timer_due_at && *each.timer_due_at <= *next)) {
        return;
    }
    each.timer_due_at = next;
    fleet_.run_at_node(node_number_, runtime::non_negative(*next - now()),
                       [this, target] {
                           const auto due = owned_upstreams_.find(target);
                           if (due == owned_upstreams_.end()) {
                               return;
                           }
                           due->second.timer_due_at.reset();
                           fleet_.count_decision();
                           due->second.owner->advance(now());
                           schedule_owner_timer(target);
                       });
}

void simulated_node::dispatch(policy::upstream_id target,
                              const policy::sub_request& request)
{
    auto& fake = fleet_.upstream(target);
    const auto request_number = request_number_in_body(request);
    const auto fail = [this, target, id = request.id](runtime::duration delay) {
        fleet_.run_at_node(node_number_, delay, [this, target, id] {
            policy::upstream_report refused;
            refused.outcome = upstream_outcome::not_connected;
            handle_report(target, id, refused);
        });
    };
    if (!fleet_.is_connected(fleet_.domain_of(fake.description()),
                             fleet_.domain_of(node_number_))) {
        fail(connect_timeout);
        return;
    }
    if (fake.is_down()) {
        fail(connection_refused_delay);
        return;
    }
    const auto wait =
        runtime::non_negative(owned_upstreams_.at(target).connected_at - now());
    fleet_.run_at_node(node_number_, wait,
                       [this, target, request_number, request] {
                           send_to_upstream(target, request_number, request);
                       });
}

void simulated_node::send_to_upstream(policy::upstream_id target,
                                      std::size_t request_number,
                                      const policy::sub_request& request)
{
    if (!can_start_work(now()) || !policy::has_time_to_send(request, now())) {
        policy::upstream_report late;
        late.outcome = upstream_outcome::shed;
        handle_report(target, request.id, late);
        return;
    }
    auto& fake = fleet_.upstream(target);
    const auto delay = upstream_delay(fake.description());
    fleet_.scheduler().after(delay, [this, &fake, target, request_number,
                                     request, delay,
                                     incarnation = incarnation_] {
        const auto id = request.id;
        const auto answer = [this, target, id, delay, incarnation](
                                const policy::upstream_report& outcome) {
            if (fleet_.node(node_number_).incarnation() != incarnation) {
                return;
            }
            fleet_.run_at_node(node_number_, delay,
                               [this, target, id, outcome] {
                                   handle_report(target, id, outcome);
                               });
        };
        if (fake.is_down()) {
            answer({});
            return;
        }
        fake.serve(request_number, request, answer);
    });
}

void simulated_node::handle_report(policy::upstream_id target,
                                   policy::request_id id,
                                   policy::upstream_report outcome)
{
    const auto found = owned_upstreams_.find(target);
    if (found == owned_upstreams_.end()) {
        return;
    }
    fleet_.count_decision();
    found->second.owner->finish(id, std::move(outcome), now());
    schedule_owner_timer(target);
    if (found->second.is_released && found->second.owner->is_idle()) {
        release_upstream(target);
    }
}

void simulated_node::check_upstream_health()
{
    std::vector<policy::upstream_id> targets;
    for (const auto& [target, each] : owned_upstreams_) {
        targets.push_back(target);
    }
    for (const auto target : targets) {
        check_health(target);
    }
}

void simulated_node::check_health(policy::upstream_id target)
{
    const auto found = owned_upstreams_.find(target);
    auto& fake = fleet_.upstream(target);
    const bool is_reachable =
        found != owned_upstreams_.end() && !fake.is_down() &&
        fleet_.is_connected(fleet_.domain_of(fake.description()),
                            fleet_.domain_of(node_number_));
    if (!is_reachable) {
        return;
    }
    found->second.owner->on_health(fake.health(), now());
    schedule_owner_timer(target);
}

} // namespace tamarackhoist::replay
