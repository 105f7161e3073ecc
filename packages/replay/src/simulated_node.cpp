#include <tamarackhoist/replay/simulated_node.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace tamarackhoist::replay
{

using policy::upstream_outcome;

namespace
{

/// One way, between a node and an upstream of its own failure domain.
constexpr runtime::duration local_link = std::chrono::microseconds(100);
constexpr runtime::duration refused_connect = std::chrono::milliseconds(1);
constexpr runtime::duration connect_timeout = std::chrono::milliseconds(250);
/// Time until the sender learns that the receiving process is gone.
constexpr runtime::duration reset_delay = std::chrono::milliseconds(1);

std::size_t number_of_body(const policy::sub_request& request)
{
    return std::stoul(*request.body);
}

} // namespace

simulated_node::simulated_node(simulated_fleet& fleet, std::size_t number,
                               std::uint64_t incarnation)
    : fleet_(fleet), number_(number),
      id_(policy::node_id::of("node" + std::to_string(number))),
      incarnation_(incarnation),
      context_(policy::hash_pair(id_.value, incarnation)),
      ledger_(id_, incarnation, policy::hash_pair(incarnation, number)),
      guard_(fleet.scheduler().now()),
      next_seed_(policy::hash_pair(number, incarnation))
{
}

runtime::time_point simulated_node::now() const
{
    return fleet_.scheduler().now();
}

runtime::duration
simulated_node::upstream_delay(const policy::upstream& each) const
{
    return fleet_.domain_of(each) == fleet_.domain_of(number_)
               ? local_link
               : fleet_.shape().link_time;
}

void simulated_node::tick()
{
    guard_.observe(now());
}

// Entry side.

void simulated_node::run_query(std::size_t number, policy::query wanted,
                               answer_hook handle)
{
    policy::query_coordinator::hooks hooks;
    hooks.send = [this, number](std::span<const policy::sub_request> batch) {
        for (const auto& each : batch) {
            route(number, each, false);
        }
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        const auto call = calls_.find(id);
        if (call == calls_.end()) {
            return;
        }
        const auto owner = call->second.owner;
        calls_.erase(call);
        fleet_.send(number_, owner,
                    [this, owner, id, target] {
                        fleet_.node(owner).cancel(id, target);
                    },
                    {});
    };
    hooks.complete = [this, number,
                      handle = std::move(handle)](policy::query_answer answer) {
        handle(std::move(answer));
        // The coordinator is on the stack; it is removed later.
        fleet_.at_node(number_, {}, [this, number] { queries_.erase(number); });
    };
    hooks.current_deployment = [this] {
        return deployment_;
    };
    auto& run = queries_[number];
    run.coordinator = policy::query_coordinator::builder()
                          .for_query(std::move(wanted))
                          .with_context(context_)
                          .with_hooks(std::move(hooks))
                          .with_seed(next_seed_++)
                          .build();
    fleet_.count_decision();
    run.coordinator->start(now());
    arm(queries_, number);
}

template <typename Run>
void simulated_node::arm(std::map<std::size_t, Run>& runs, std::size_t number)
{
    const auto found = runs.find(number);
    if (found == runs.end()) {
        return;
    }
    auto& run = found->second;
    const auto next = run.coordinator->next_timer();
    if (!next || (run.armed_for && *run.armed_for <= *next)) {
        return;
    }
    run.armed_for = next;
    fleet_.at_node(number_, *next - now(), [this, &runs, number] {
        const auto due = runs.find(number);
        if (due == runs.end()) {
            return;
        }
        due->second.armed_for.reset();
        fleet_.count_decision();
        due->second.coordinator->on_timer(now());
        arm(runs, number);
    });
}

void simulated_node::route(std::size_t number,
                           const policy::sub_request& request, bool is_order)
{
    const auto owner_id = owners_.owner_of(request.target);
    const auto owner =
        owner_id ? fleet_.number_of(*owner_id) : std::optional<std::size_t>();
    calls_[request.id] = {number, owner.value_or(number_), is_order};
    const auto to = owner.value_or(number_);
    const auto sent_at = now();
    const auto id = request.id;
    fleet_.send(
        number_, to,
        [this, to, number, request, sent_at] {
            fleet_.node(to).submit(number_, number, request, sent_at);
        },
        [this, id] {
            fleet_.at_node(number_, reset_delay, [this, id] { fail_call(id); });
        });
}

void simulated_node::on_peer_lost(std::size_t peer)
{
    std::vector<policy::request_id> lost;
    for (const auto& [id, call] : calls_) {
        if (call.owner == peer) {
            lost.push_back(id);
        }
    }
    std::ranges::sort(lost);
    for (const auto& id : lost) {
        fail_call(id);
    }
}

void simulated_node::fail_call(policy::request_id id)
{
    policy::sub_reply reply;
    reply.id = id;
    reply.outcome = policy::sub_outcome::failed;
    on_reply(reply);
}

void simulated_node::on_reply(const policy::sub_reply& reply)
{
    const auto found = calls_.find(reply.id);
    if (found == calls_.end()) {
        return;
    }
    const auto call = found->second;
    calls_.erase(found);
    fleet_.count_decision();
    if (call.is_order) {
        const auto run = orders_.find(call.number);
        if (run != orders_.end()) {
            run->second.coordinator->on_reply(reply, now());
            arm(orders_, call.number);
        }
        return;
    }
    const auto run = queries_.find(call.number);
    if (run != queries_.end()) {
        run->second.coordinator->on_reply(reply, now());
        arm(queries_, call.number);
    }
}

std::optional<policy::order_ticket> simulated_node::issue_ticket()
{
    return ledger_.issue("orders", now());
}

void simulated_node::run_order(std::size_t number, policy::order wanted,
                               const policy::order_ticket& ticket,
                               const outcome_hook& handle)
{
    if (ticket.issuer == id_ && ticket.incarnation == incarnation_) {
        run_claimed(number, std::move(wanted), ticket, handle);
        return;
    }
    const auto issuer = fleet_.number_of(ticket.issuer);
    const policy::order_outcome unknown{
        policy::order_status::unknown, "the issuer is not reachable", {}};
    if (alive_[*issuer] != ticket.incarnation) {
        handle(unknown);
        return;
    }
    // The reply, a reset or the deadline answers the caller, whichever is
    // first.
    auto once = std::make_shared<outcome_hook>(handle);
    const auto settle = [once](const policy::order_outcome& outcome) {
        if (auto hook = std::exchange(*once, nullptr)) {
            hook(outcome);
        }
    };
    fleet_.at_node(number_, wanted.deadline - now(),
                   [settle, unknown] { settle(unknown); });
    const auto remaining = wanted.deadline - now();
    fleet_.send(
        number_, *issuer,
        [this, issuer = *issuer, number, wanted, ticket, remaining,
         settle]() mutable {
            wanted.deadline = now() + remaining;
            fleet_.node(issuer).run_claimed(
                number, std::move(wanted), ticket,
                [this, issuer, settle](const policy::order_outcome& outcome) {
                    fleet_.send(issuer, number_,
                                [settle, outcome] { settle(outcome); }, {});
                });
        },
        [settle, unknown] { settle(unknown); });
}

void simulated_node::run_claimed(std::size_t number, policy::order wanted,
                                 const policy::order_ticket& ticket,
                                 const outcome_hook& handle)
{
    const auto claimed = ledger_.claim(ticket, wanted.service, now(), handle);
    if (claimed != policy::order_ledger::claim_result::run) {
        return;
    }
    policy::order_coordinator::hooks hooks;
    hooks.send = [this, number](const policy::sub_request& request) {
        route(number, request, true);
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        const auto call = calls_.find(id);
        if (call == calls_.end()) {
            return;
        }
        const auto owner = call->second.owner;
        fleet_.send(number_, owner,
                    [this, owner, id, target] {
                        fleet_.node(owner).cancel(id, target);
                    },
                    {});
    };
    hooks.settle = [this, ticket](const policy::order_outcome& outcome) {
        ledger_.settle(ticket, outcome);
    };
    auto& run = orders_[number];
    run.armed_for.reset();
    run.coordinator = std::make_unique<policy::order_coordinator>(
        std::move(wanted), deployment_, context_, std::move(hooks),
        next_seed_++);
    fleet_.count_decision();
    run.coordinator->start(now());
    arm(orders_, number);
}

// Owner side.

void simulated_node::set_view(std::vector<std::uint64_t> alive)
{
    alive_ = std::move(alive);
    apply_view();
}

void simulated_node::set_deployment(policy::deployment_pointer described)
{
    deployment_ = std::move(described);
    context_.directory().set_deployment(*deployment_);
    apply_view();
}

void simulated_node::apply_view()
{
    if (!deployment_ || alive_.empty()) {
        return;
    }
    std::vector<policy::node_view> nodes;
    for (std::size_t peer = 0; peer < alive_.size(); ++peer) {
        if (alive_[peer] != 0) {
            nodes.push_back({policy::node_id::of("node" + std::to_string(peer)),
                             "domain" + std::to_string(fleet_.domain_of(peer)),
                             false});
        }
    }
    owners_ = policy::ownership(*deployment_, nodes);
    const auto wanted = owners_.owned_by(id_);
    for (const auto target : wanted) {
        const auto known = owned_.find(target);
        if (known == owned_.end()) {
            take_over(*deployment_->find_upstream(target));
        } else {
            known->second.is_released = false;
        }
    }
    std::vector<policy::upstream_id> unwanted;
    for (const auto& [target, each] : owned_) {
        const bool is_wanted =
            std::ranges::find(wanted, target) != wanted.end();
        if (!is_wanted && !each.is_released) {
            unwanted.push_back(target);
        }
    }
    for (const auto target : unwanted) {
        release(target);
    }
}

void simulated_node::take_over(const policy::upstream& described)
{
    const auto target = described.id;
    auto& added = owned_[target];
    added.connected_at = now() + fleet_.shape().connect_time;
    added.connections = policy::owner_connections(described);
    fleet_.upstream(target).change_connections(
        static_cast<std::int32_t>(added.connections));
    added.owner = std::make_unique<policy::upstream_owner>(
        described, deployment_->classes(),
        policy::upstream_owner::hooks{
            [this, target](const policy::sub_request& request) {
                dispatch(target, request);
            },
            [this, target](policy::request_id id) {
                fleet_.upstream(target).abort(id);
                policy::upstream_report abandoned;
                abandoned.outcome = upstream_outcome::abandoned;
                fleet_.at_node(number_, {}, [this, target, id, abandoned] {
                    report(target, id, abandoned);
                });
            },
            [this, target](const policy::sub_reply& reply) {
                auto& origins = owned_[target].origins;
                const auto origin = origins.find(reply.id);
                if (origin == origins.end()) {
                    return;
                }
                const auto entry = origin->second.second;
                origins.erase(origin);
                fleet_.send(number_, entry,
                            [this, entry, reply] {
                                fleet_.node(entry).on_reply(reply);
                            },
                            {});
            },
            [this](runtime::time_point at) {
                return may_start(at);
            }});
    fleet_.at_node(number_, fleet_.shape().connect_time,
                   [this, target] { read_health_of(target); });
}

bool simulated_node::may_start(runtime::time_point at)
{
    guard_.observe(at);
    return guard_.is_trusted(at);
}

void simulated_node::release(policy::upstream_id target)
{
    auto& each = owned_.at(target);
    each.is_released = true;
    each.owner->refuse_queued(policy::refusal::not_owner, now());
    if (each.owner->is_idle()) {
        fleet_.upstream(target).change_connections(
            -static_cast<std::int32_t>(each.connections));
        owned_.erase(target);
    }
}

void simulated_node::close_connections()
{
    for (auto& [target, each] : owned_) {
        fleet_.upstream(target).change_connections(
            -static_cast<std::int32_t>(each.connections));
    }
    owned_.clear();
}

void simulated_node::submit(std::size_t from, std::size_t number,
                            policy::sub_request request,
                            runtime::time_point sent_at)
{
    fleet_.count_decision();
    request.deadline = now() + (request.deadline - sent_at);
    const auto target = request.target;
    const auto found = owned_.find(target);
    if (found == owned_.end() || found->second.is_released) {
        policy::sub_reply reply;
        reply.id = request.id;
        reply.source = target;
        reply.outcome = policy::sub_outcome::not_run;
        reply.reason = policy::refusal::not_owner;
        fleet_.send(number_, from,
                    [this, from, reply] { fleet_.node(from).on_reply(reply); },
                    {});
        return;
    }
    found->second.origins[request.id] = {number, from};
    found->second.owner->submit(std::move(request), now());
    arm_owner(target);
}

void simulated_node::cancel(policy::request_id id, policy::upstream_id target)
{
    const auto found = owned_.find(target);
    if (found == owned_.end()) {
        return;
    }
    fleet_.count_decision();
    found->second.owner->cancel(id, now());
}

void simulated_node::arm_owner(policy::upstream_id target)
{
    const auto found = owned_.find(target);
    if (found == owned_.end()) {
        return;
    }
    auto& each = found->second;
    const auto next = each.owner->next_wakeup();
    if (!next || (each.armed_for && *each.armed_for <= *next)) {
        return;
    }
    each.armed_for = next;
    fleet_.at_node(number_, runtime::non_negative(*next - now()),
                   [this, target] {
                       const auto due = owned_.find(target);
                       if (due == owned_.end()) {
                           return;
                       }
                       due->second.armed_for.reset();
                       fleet_.count_decision();
                       due->second.owner->advance(now());
                       arm_owner(target);
                   });
}

void simulated_node::dispatch(policy::upstream_id target,
                              const policy::sub_request& request)
{
    auto& fake = fleet_.upstream(target);
    const auto number = number_of_body(request);
    const auto fail = [this, target, id = request.id](runtime::duration delay) {
        fleet_.at_node(number_, delay, [this, target, id] {
            policy::upstream_report refused;
            refused.outcome = upstream_outcome::not_connected;
            report(target, id, refused);
        });
    };
    if (!fleet_.is_connected(fleet_.domain_of(fake.description()),
                             fleet_.domain_of(number_))) {
        fail(connect_timeout);
        return;
    }
    if (fake.is_down()) {
        fail(refused_connect);
        return;
    }
    const auto wait =
        runtime::non_negative(owned_.at(target).connected_at - now());
    fleet_.at_node(number_, wait, [this, target, number, request] {
        write(target, number, request);
    });
}

void simulated_node::write(policy::upstream_id target, std::size_t number,
                           const policy::sub_request& request)
{
    if (!may_start(now()) || !policy::is_worth_sending(request, now())) {
        policy::upstream_report late;
        late.outcome = upstream_outcome::shed;
        report(target, request.id, late);
        return;
    }
    auto& fake = fleet_.upstream(target);
    const auto delay = upstream_delay(fake.description());
    fleet_.scheduler().after(delay, [this, &fake, target, number, request,
                                     delay, incarnation = incarnation_] {
        const auto id = request.id;
        const auto answer = [this, target, id, delay, incarnation](
                                const policy::upstream_report& outcome) {
            if (fleet_.node(number_).incarnation() != incarnation) {
                return;
            }
            fleet_.at_node(number_, delay, [this, target, id, outcome] {
                report(target, id, outcome);
            });
        };
        if (fake.is_down()) {
            answer({});
            return;
        }
        fake.serve(number, request, answer);
    });
}

void simulated_node::report(policy::upstream_id target, policy::request_id id,
                            policy::upstream_report outcome)
{
    const auto found = owned_.find(target);
    if (found == owned_.end()) {
        return;
    }
    fleet_.count_decision();
    found->second.owner->finish(id, std::move(outcome), now());
    arm_owner(target);
    if (found->second.is_released && found->second.owner->is_idle()) {
        release(target);
    }
}

void simulated_node::read_health()
{
    std::vector<policy::upstream_id> targets;
    for (const auto& [target, each] : owned_) {
        targets.push_back(target);
    }
    for (const auto target : targets) {
        read_health_of(target);
    }
}

void simulated_node::read_health_of(policy::upstream_id target)
{
    const auto found = owned_.find(target);
    auto& fake = fleet_.upstream(target);
    const bool is_reachable =
        found != owned_.end() && !fake.is_down() &&
        fleet_.is_connected(fleet_.domain_of(fake.description()),
                            fleet_.domain_of(number_));
    if (!is_reachable) {
        return;
    }
    found->second.owner->on_health(fake.health(), now());
    arm_owner(target);
}

} // namespace tamarackhoist::replay
