#include <tamarackhoist/replay/simulated_fleet.hpp>

#include <algorithm>
#include <cassert>
#include <string>
#include <tamarackhoist/replay/baseline_node.hpp>
#include <tamarackhoist/replay/simulated_node.hpp>
#include <utility>

namespace tamarackhoist::replay
{

namespace
{

constexpr auto index_name = "index";
constexpr auto order_service = "orders";
/// Time from the failure of a node until the others act on it: the direct
/// probe, the indirect probes and the suspicion timeout of the membership
/// settings.
constexpr runtime::duration failure_detection_time =
    std::chrono::milliseconds(1800);
/// Time until a node that is reachable again is back in all membership views.
constexpr runtime::duration rejoin_time = std::chrono::milliseconds(500);
/// Longest time for which a message waits for a cut link before its connection
/// fails.
constexpr runtime::duration max_retransmission_time = std::chrono::seconds(8);
constexpr runtime::duration health_interval = std::chrono::seconds(1);
constexpr runtime::duration clock_observation_interval =
    policy::pause_guard::observation_interval;
/// Longest time until a new deployment has reached every node.
constexpr runtime::duration max_deployment_delay = std::chrono::seconds(2);
constexpr std::uint32_t order_slots = 4;
constexpr std::uint32_t order_connections = 100;
constexpr std::uint32_t max_order_attempts = 4;
/// Time after the deadline at which a caller gives up on an attempt.
constexpr runtime::duration caller_timeout_margin =
    std::chrono::milliseconds(100);
constexpr runtime::duration caller_retry_delay = std::chrono::milliseconds(50);

std::string domain_name(std::size_t number)
{
    return "domain" + std::to_string(number);
}

} // namespace

policy::key simulated_fleet::grid_step(const fleet_shape& shape)
{
    return policy::key_space_end / (shape.shards * keys_per_shard);
}

simulated_fleet::simulated_fleet(const fleet_shape& shape,
                                 std::vector<policy::priority_class> classes,
                                 policy_kind kind)
    : shape_(shape), classes_(std::move(classes)), kind_(kind),
      checker_(grid_step(shape)), random_(shape.seed),
      is_partitioned_(shape.domains, false), partition_ends_(shape.domains)
{
    build_deployment();
    build_upstreams(shape.seed);
    for (std::size_t number = 0; number < shape_.nodes; ++number) {
        if (kind_ == policy_kind::baseline) {
            baseline_nodes_.push_back(
                std::make_unique<baseline_node>(*this, number));
        }
        nodes_.push_back(std::make_unique<simulated_node>(*this, number, 1));
    }
    if (kind_ == policy_kind::product) {
        publish_deployment(deployment_);
        refresh_membership_views();
    }
    for (std::size_t number = 0; number < shape_.nodes; ++number) {
        const auto observe_clock = [this, number](const auto& self) -> void {
            scheduler_.after(clock_observation_interval, [this, number, self] {
                if (nodes_[number]->paused_until() <= scheduler_.now()) {
                    nodes_[number]->observe_clock();
                }
                self(self);
            });
        };
        observe_clock(observe_clock);
        const auto check_health = [this, number](const auto& self) -> void {
            scheduler_.after(health_interval, [this, number, self] {
                if (nodes_[number]->paused_until() <= scheduler_.now()) {
                    nodes_[number]->check_upstream_health();
                }
                self(self);
            });
        };
        if (kind_ == policy_kind::product) {
            nodes_[number]->check_upstream_health();
            check_health(check_health);
        }
    }
}

simulated_fleet::~simulated_fleet() = default;

void simulated_fleet::build_deployment()
{
    const auto step = grid_step(shape_);
    const auto shard_keys = step * keys_per_shard;
    const auto add_upstream = [&](const std::string& name,
                                  const std::string& service,
                                  std::size_t domain, std::uint32_t slots,
                                  std::uint32_t connections) {
        policy::upstream added;
        added.name = name;
        added.id = policy::upstream_id::from_name(name);
        added.service = service;
        added.failure_domain = domain_name(domain % shape_.domains);
        added.slots = slots;
        added.connections = connections;
        upstream_descriptions_.push_back(added);
        return added.id;
    };
    for (std::size_t number = 0; number < shape_.shards; ++number) {
        policy::shard shard;
        shard.name = "shard" + std::to_string(number);
        shard.service = "service" + std::to_string(number);
        shard.index = index_name;
        const bool is_last = number + 1 == shape_.shards;
        shard.range = {number * shard_keys, is_last
                                                ? policy::key_space_end
                                                : (number + 1) * shard_keys};
        for (std::size_t replica = 0; replica < shape_.replicas; ++replica) {
            shard.replicas.push_back(add_upstream(
                shard.service + "-" + std::to_string(replica), shard.service,
                number * shape_.replicas + replica + number / 2, shape_.slots,
                shape_.connections));
        }
        shards_.push_back(std::move(shard));
    }
    policy::shard orders;
    orders.name = order_service;
    orders.service = order_service;
    orders.range = policy::whole_key_space;
    for (std::size_t each = 0; each < shape_.order_upstreams; ++each) {
        orders.replicas.push_back(add_upstream("orders-" + std::to_string(each),
                                               order_service, each, order_slots,
                                               order_connections));
    }
    shards_.push_back(std::move(orders));

    deployment_ = make_deployment();
}

policy::deployment_pointer simulated_fleet::make_deployment() const
{
    policy::deployment::builder builder;
    builder.epoch(epoch_);
    for (const auto& each : classes_) {
        builder.add(each);
    }
    for (const auto& each : upstream_descriptions_) {
        builder.add(each);
    }
    for (const auto& each : shards_) {
        builder.add(each);
    }
    return builder.build();
}

void simulated_fleet::build_upstreams(std::uint64_t seed)
{
    for (const auto& each : upstream_descriptions_) {
        upstreams_[each.id] = std::make_unique<fake_upstream>(
            each, shape_.service_time, grid_step(shape_),
            policy::hash_pair(seed, each.id.value), scheduler_, checker_);
    }
    for (const auto& shard : shards_) {
        for (const auto replica : shard.replicas) {
            upstreams_.at(replica)->add_range(shard.range);
        }
    }
}

fake_upstream& simulated_fleet::upstream(policy::upstream_id id)
{
    return *upstreams_.at(id);
}

std::optional<std::size_t>
simulated_fleet::find_node_number(policy::node_id id) const
{
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (nodes_[number]->id() == id) {
            return number;
        }
    }
    return std::nullopt;
}

std::size_t simulated_fleet::domain_of(const policy::upstream& each) const
{
    return std::stoul(each.failure_domain.substr(domain_name(0).size() - 1));
}

bool simulated_fleet::is_connected(std::size_t left_domain,
                                   std::size_t right_domain) const
{
    return left_domain == right_domain ||
           (!is_partitioned_[left_domain] && !is_partitioned_[right_domain]);
}

void simulated_fleet::run_at_node(std::size_t number, runtime::duration delay,
                                  action task, action on_drop)
{
    const auto incarnation = nodes_[number]->incarnation();
    scheduler_.after(runtime::non_negative(delay),
                     [this, number, incarnation, task = std::move(task),
                      on_drop = std::move(on_drop)]() mutable {
                         auto& each = *nodes_[number];
                         if (each.incarnation() != incarnation) {
                             if (on_drop) {
                                 on_drop();
                             }
                             return;
                         }
                         if (each.paused_until() > scheduler_.now()) {
                             run_at_node(number,
                                         each.paused_until() - scheduler_.now(),
                                         std::move(task), std::move(on_drop));
                             return;
                         }
                         each.observe_clock();
                         task();
                     });
}

void simulated_fleet::send(std::size_t from, std::size_t to, action deliver,
                           action on_drop)
{
    if (from == to) {
        run_at_node(to, {}, std::move(deliver), std::move(on_drop));
        return;
    }
    const auto from_domain = domain_of(from);
    const auto to_domain = domain_of(to);
    auto delay =
        from_domain == to_domain ? shape_.link_time / 4 : shape_.link_time;
    if (!is_connected(from_domain, to_domain)) {
        auto healed_at = scheduler_.now();
        for (const auto domain : {from_domain, to_domain}) {
            if (is_partitioned_[domain]) {
                healed_at = std::max(healed_at, partition_ends_[domain]);
            }
        }
        if (healed_at - scheduler_.now() > max_retransmission_time) {
            if (on_drop) {
                run_at_node(from, max_retransmission_time, std::move(on_drop));
            }
            return;
        }
        delay += healed_at - scheduler_.now();
    }
    run_at_node(to, delay, std::move(deliver), std::move(on_drop));
}

std::size_t simulated_fleet::pick_random_node()
{
    return std::uniform_int_distribution<std::size_t>(0, nodes_.size() -
                                                             1)(random_);
}

void simulated_fleet::start_query(policy::class_index rank,
                                  policy::key_range_set ranges)
{
    const auto now = scheduler_.now();
    policy::query query;
    query.index = index_name;
    query.ranges = std::move(ranges);
    query.rank = rank;
    query.deadline = now + classes_[rank].deadline;
    const auto request_number =
        checker_.add_request(rank, false, now, query.deadline, query.ranges);
    query.body = std::to_string(request_number);
    const auto node_number = pick_random_node();
    const auto handle = [this,
                         request_number](const policy::query_answer& answer) {
        checker_.record_answer(request_number, answer, scheduler_.now());
    };
    run_at_node(
        node_number, {}, [this, node_number, request_number, query, handle] {
            if (kind_ == policy_kind::baseline) {
                baseline_nodes_[node_number]->run_query(request_number, query,
                                                        handle);
            } else {
                nodes_[node_number]->run_query(request_number, query, handle);
            }
        });
}

void simulated_fleet::start_order(policy::class_index rank)
{
    const auto now = scheduler_.now();
    auto progress = std::make_shared<order_progress>();
    progress->rank = rank;
    progress->request_number = checker_.add_request(
        rank, true, now, now + classes_[rank].deadline, whole_key_range_set());
    try_order(progress);
}

void simulated_fleet::try_order(const std::shared_ptr<order_progress>& progress)
{
    ++progress->attempt;
    const auto node_number = pick_random_node();
    if (kind_ == policy_kind::baseline || progress->ticket) {
        send_order(progress, node_number);
        return;
    }
    // The ticket is requested first: a caller that receives none has not sent
    // its order, so the attempt ends as not run.
    const auto is_finished = std::make_shared<bool>(false);
    const auto on_ticket_lost = [this, progress, is_finished] {
        if (std::exchange(*is_finished, true)) {
            return;
        }
        on_order_attempt_end(progress,
                             {policy::order_status::not_run, "no ticket", {}});
    };
    run_at_node(
        node_number, shape_.link_time,
        [this, progress, node_number, is_finished] {
            if (*is_finished) {
                return;
            }
            progress->ticket = nodes_[node_number]->issue_ticket();
            *is_finished = true;
            send_order(progress, node_number);
        },
        on_ticket_lost);
    scheduler_.after(classes_[progress->rank].deadline + caller_timeout_margin,
                     on_ticket_lost);
}

void simulated_fleet::send_order(
    const std::shared_ptr<order_progress>& progress, std::size_t node_number)
{
    const auto deadline = classes_[progress->rank].deadline;
    const auto is_finished = std::make_shared<bool>(false);
    const auto finish = [this, progress,
                         is_finished](const policy::order_outcome& outcome) {
        if (std::exchange(*is_finished, true)) {
            return;
        }
        on_order_attempt_end(progress, outcome);
    };
    const policy::order_outcome lost_outcome{
        policy::order_status::unknown, "lost", {}};
    run_at_node(
        node_number, shape_.link_time,
        [this, progress, node_number, finish, deadline] {
            policy::order order;
            order.service = order_service;
            order.position = progress->request_number % policy::key_space_end;
            order.rank = progress->rank;
            order.deadline = scheduler_.now() + deadline;
            order.body = std::to_string(progress->request_number);
            if (kind_ == policy_kind::baseline) {
                baseline_nodes_[node_number]->run_order(
                    progress->request_number, order, finish);
            } else {
                nodes_[node_number]->run_order(progress->request_number, order,
                                               *progress->ticket, finish);
            }
        },
        [finish, lost_outcome] { finish(lost_outcome); });
    scheduler_.after(deadline + caller_timeout_margin,
                     [finish, lost_outcome] { finish(lost_outcome); });
}

void simulated_fleet::on_order_attempt_end(
    const std::shared_ptr<order_progress>& progress,
    const policy::order_outcome& outcome)
{
    // A retry that is refused does not show that the order did not run if an
    // earlier attempt had an unknown outcome.
    progress->last_outcome = outcome;
    if (outcome.status == policy::order_status::not_run) {
        // A ticket cannot be used again after a refusal; the next attempt
        // requests a new one.
        progress->ticket.reset();
    }
    const bool is_settled = outcome.status == policy::order_status::ran;
    if (!is_settled && progress->attempt < max_order_attempts) {
        scheduler_.after(caller_retry_delay,
                         [this, progress] { try_order(progress); });
        return;
    }
    checker_.record_outcome(progress->request_number, outcome,
                            scheduler_.now());
}

// Events.

void simulated_fleet::schedule(const trace& recorded_trace)
{
    std::uint64_t seed = shape_.seed;
    for (const auto& each : recorded_trace.arrivals) {
        schedule_arrivals(each, recorded_trace.capacity(), ++seed);
    }
    for (const auto& each : recorded_trace.events) {
        schedule_event(each);
    }
}

void simulated_fleet::schedule_arrivals(const arrival_process& arrivals,
                                        double capacity, std::uint64_t seed)
{
    const auto rate =
        arrivals.is_rate ? arrivals.amount : arrivals.amount * capacity;
    if (rate <= 0) {
        return;
    }
    // Each arrival schedules the next one, so that the scheduler's queue stays
    // short.
    auto source = std::make_shared<std::mt19937_64>(seed);
    const auto next = [this, arrivals, rate, source](const auto& self,
                                                     runtime::time_point due) {
        const auto at =
            due + runtime::from_seconds(
                      std::exponential_distribution<>(rate)(*source));
        if (at >= arrivals.until) {
            return;
        }
        scheduler_.at(at, [this, arrivals, self, at] {
            if (arrivals.is_order) {
                start_order(arrivals.rank);
            } else {
                start_query(arrivals.rank, whole_key_range_set());
            }
            self(self, at);
        });
    };
    next(next, arrivals.from);
}

void simulated_fleet::schedule_event(const trace_event& event)
{
    if (event.kind == event_kind::rollover) {
        apply_rollover(event);
        return;
    }
    std::size_t count = upstream_descriptions_.size();
    switch (event.kind) {
    case event_kind::split:
        count = shape_.shards;
        break;
    case event_kind::pause:
    case event_kind::replace:
        count = nodes_.size();
        break;
    case event_kind::partition:
        count = shape_.domains;
        break;
    default:
        break;
    }
    for (std::size_t target = 0; target < count; ++target) {
        const bool is_target = event.modulus == 0
                                   ? target == event.target
                                   : target % event.modulus == event.target;
        if (!is_target) {
            continue;
        }
        scheduler_.at(event.at, [this, event, target] {
            apply_event(event, target, true);
        });
        scheduler_.at(event.until, [this, event, target] {
            apply_event(event, target, false);
        });
    }
}

void simulated_fleet::apply_rollover(const trace_event& event)
{
    // The first replica of each shard is moved, one shard after another, then
    // the second replica of each shard, and so on.
    const auto count = shape_.shards * shape_.replicas;
    const auto step = (event.until - event.at) / static_cast<long>(count);
    std::size_t position = 0;
    for (std::size_t replica = 0; replica < shape_.replicas; ++replica) {
        for (std::size_t shard = 0; shard < shape_.shards; ++shard) {
            const auto id = shards_[shard].replicas[replica];
            const auto version =
                static_cast<policy::index_version>(event.factor);
            scheduler_.at(
                event.at + step * static_cast<long>(position),
                [this, id, version] { upstream(id).set_version(version); });
            ++position;
        }
    }
}

void simulated_fleet::apply_event(const trace_event& event, std::size_t target,
                                  bool is_begin)
{
    const auto upstream_of_target = [&]() -> fake_upstream& {
        return upstream(upstream_descriptions_[target].id);
    };
    switch (event.kind) {
    case event_kind::slow:
        upstream_of_target().set_slowdown_factor(is_begin ? event.factor : 1);
        break;
    case event_kind::down:
        upstream_of_target().set_down(is_begin);
        break;
    case event_kind::hang:
        upstream_of_target().set_hanging(is_begin);
        break;
    case event_kind::lose_replies:
        upstream_of_target().set_losing_replies(is_begin);
        break;
    case event_kind::drain:
        upstream_of_target().set_draining(is_begin);
        break;
    case event_kind::split:
        if (is_begin) {
            split_shard(target);
        }
        break;
    case event_kind::pause:
        if (is_begin) {
            pause_node(target, event.until);
        }
        break;
    case event_kind::replace:
        if (is_begin) {
            replace_node(target);
        }
        break;
    case event_kind::partition:
        partition_ends_[target] = event.until;
        set_partitioned(target, is_begin);
        break;
    case event_kind::rollover:
        break;
    }
}

void simulated_fleet::split_shard(std::size_t number)
{
    auto& from = shards_[number];
    const auto target = (number + 1) % shape_.shards;
    // Move the upper half, starting at a key with an item.
    const auto step = grid_step(shape_);
    const auto middle =
        from.range.begin + (from.range.size() / 2 + step - 1) / step * step;
    const policy::key_range moved{middle, from.range.end};
    if (moved.empty() || middle <= from.range.begin) {
        return;
    }
    for (const auto replica : from.replicas) {
        upstream(replica).remove_range(moved);
    }
    for (const auto replica : shards_[target].replicas) {
        upstream(replica).add_range(moved);
    }
    from.range.end = middle;
    policy::shard added = shards_[target];
    added.name = from.name + "-moved";
    added.range = moved;
    shards_.push_back(added);

    ++epoch_;
    publish_deployment(make_deployment());
}

void simulated_fleet::publish_deployment(policy::deployment_pointer next)
{
    deployment_ = std::move(next);
    const bool is_first = epoch_ == 1;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (is_first) {
            nodes_[number]->set_deployment(deployment_);
            continue;
        }
        const auto delay =
            std::uniform_int_distribution<runtime::duration::rep>(
                0, max_deployment_delay.count())(random_);
        run_at_node(number, runtime::duration(delay),
                    [this, number, deployment = deployment_] {
                        nodes_[number]->set_deployment(deployment);
                    });
    }
}

void simulated_fleet::refresh_membership_views()
{
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        std::vector<std::uint64_t> alive;
        for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
            const bool is_seen =
                peer == number ||
                (is_connected(domain_of(number), domain_of(peer)) &&
                 nodes_[peer]->paused_until() <= scheduler_.now());
            alive.push_back(is_seen ? nodes_[peer]->incarnation() : 0);
        }
        if (kind_ == policy_kind::product) {
            run_at_node(number, {}, [this, number, alive] {
                nodes_[number]->set_membership_view(alive);
            });
        }
    }
}

void simulated_fleet::pause_node(std::size_t number, runtime::time_point until)
{
    nodes_[number]->pause_until(until);
    scheduler_.after(failure_detection_time,
                     [this] { refresh_membership_views(); });
    scheduler_.at(until + rejoin_time, [this] { refresh_membership_views(); });
}

void simulated_fleet::replace_node(std::size_t number)
{
    const auto incarnation = nodes_[number]->incarnation() + 1;
    nodes_[number]->close_connections();
    auto old = std::move(nodes_[number]);
    nodes_[number] =
        std::make_unique<simulated_node>(*this, number, incarnation);
    if (kind_ == policy_kind::baseline) {
        return;
    }
    // Pending callbacks still refer to the old node and then compare its
    // incarnation, so the object is kept.
    replaced_nodes_.push_back(std::move(old));
    // The new process knows only itself until it has contacted the others.
    std::vector<std::uint64_t> self_only(nodes_.size(), 0);
    self_only[number] = incarnation;
    nodes_[number]->set_deployment(deployment_);
    nodes_[number]->set_membership_view(std::move(self_only));
    for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
        if (peer == number) {
            continue;
        }
        run_at_node(peer, shape_.link_time, [this, peer, number] {
            nodes_[peer]->on_peer_disconnected(number);
        });
    }
    scheduler_.after(rejoin_time, [this] { refresh_membership_views(); });
}

void simulated_fleet::set_partitioned(std::size_t domain, bool is_partitioned)
{
    is_partitioned_[domain] = is_partitioned;
    scheduler_.after(is_partitioned ? failure_detection_time : rejoin_time,
                     [this] { refresh_membership_views(); });
}

policy::key_range_set simulated_fleet::whole_key_range_set()
{
    return policy::key_range_set(std::span(&policy::whole_key_space, 1));
}

} // namespace tamarackhoist::replay
