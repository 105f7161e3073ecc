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
/// Time from a failure of a node until the others act on it: a probe, its
/// indirect probes and the suspicion, as the settings of membership have it.
constexpr runtime::duration detection_time = std::chrono::milliseconds(1800);
/// Time until a node that is reachable again is back in all views.
constexpr runtime::duration rejoin_time = std::chrono::milliseconds(500);
/// Time for which a message waits for a cut link before its connection ends.
constexpr runtime::duration max_hold = std::chrono::seconds(8);
constexpr runtime::duration health_interval = std::chrono::seconds(1);
constexpr runtime::duration tick_interval = policy::pause_guard::tick;
/// Longest time until every node has a new deployment.
constexpr runtime::duration max_spread = std::chrono::seconds(2);
constexpr std::uint32_t order_slots = 4;
constexpr std::uint32_t order_connections = 100;
constexpr std::uint32_t order_attempts = 4;
/// Time beyond the deadline after which a caller asks again.
constexpr runtime::duration caller_patience = std::chrono::milliseconds(100);
constexpr runtime::duration caller_backoff = std::chrono::milliseconds(50);

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
      ledger_(grid_step(shape)), random_(shape.seed),
      is_cut_(shape.domains, false), heals_at_(shape.domains)
{
    build_deployment();
    build_upstreams(shape.seed);
    for (std::size_t number = 0; number < shape_.nodes; ++number) {
        if (kind_ == policy_kind::baseline) {
            baselines_.push_back(
                std::make_unique<baseline_node>(*this, number));
        }
        nodes_.push_back(std::make_unique<simulated_node>(*this, number, 1));
    }
    if (kind_ == policy_kind::product) {
        publish(deployment_);
        refresh_views();
    }
    for (std::size_t number = 0; number < shape_.nodes; ++number) {
        const auto tick = [this, number](const auto& self) -> void {
            scheduler_.after(tick_interval, [this, number, self] {
                if (nodes_[number]->paused_until() <= scheduler_.now()) {
                    nodes_[number]->tick();
                }
                self(self);
            });
        };
        tick(tick);
        const auto health = [this, number](const auto& self) -> void {
            scheduler_.after(health_interval, [this, number, self] {
                if (nodes_[number]->paused_until() <= scheduler_.now()) {
                    nodes_[number]->read_health();
                }
                self(self);
            });
        };
        if (kind_ == policy_kind::product) {
            nodes_[number]->read_health();
            health(health);
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
        added.id = policy::upstream_id::of(name);
        added.service = service;
        added.failure_domain = domain_name(domain % shape_.domains);
        added.slots = slots;
        added.connections = connections;
        described_.push_back(added);
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
    for (const auto& each : described_) {
        builder.add(each);
    }
    for (const auto& each : shards_) {
        builder.add(each);
    }
    return builder.build();
}

void simulated_fleet::build_upstreams(std::uint64_t seed)
{
    for (const auto& each : described_) {
        upstreams_[each.id] = std::make_unique<fake_upstream>(
            each, shape_.service_time, grid_step(shape_),
            policy::hash_pair(seed, each.id.value), scheduler_, ledger_);
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

std::optional<std::size_t> simulated_fleet::number_of(policy::node_id id) const
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
           (!is_cut_[left_domain] && !is_cut_[right_domain]);
}

void simulated_fleet::at_node(std::size_t number, runtime::duration delay,
                              action work, action drop)
{
    const auto incarnation = nodes_[number]->incarnation();
    scheduler_.after(runtime::non_negative(delay),
                     [this, number, incarnation, work = std::move(work),
                      drop = std::move(drop)]() mutable {
                         auto& each = *nodes_[number];
                         if (each.incarnation() != incarnation) {
                             if (drop) {
                                 drop();
                             }
                             return;
                         }
                         if (each.paused_until() > scheduler_.now()) {
                             at_node(number,
                                     each.paused_until() - scheduler_.now(),
                                     std::move(work), std::move(drop));
                             return;
                         }
                         each.tick();
                         work();
                     });
}

void simulated_fleet::send(std::size_t from, std::size_t to, action deliver,
                           action drop)
{
    if (from == to) {
        at_node(to, {}, std::move(deliver), std::move(drop));
        return;
    }
    const auto from_domain = domain_of(from);
    const auto to_domain = domain_of(to);
    auto delay =
        from_domain == to_domain ? shape_.link_time / 4 : shape_.link_time;
    if (!is_connected(from_domain, to_domain)) {
        auto heals = scheduler_.now();
        for (const auto domain : {from_domain, to_domain}) {
            if (is_cut_[domain]) {
                heals = std::max(heals, heals_at_[domain]);
            }
        }
        if (heals - scheduler_.now() > max_hold) {
            if (drop) {
                at_node(from, max_hold, std::move(drop));
            }
            return;
        }
        delay += heals - scheduler_.now();
    }
    at_node(to, delay, std::move(deliver), std::move(drop));
}

std::size_t simulated_fleet::pick_node()
{
    return std::uniform_int_distribution<std::size_t>(0, nodes_.size() -
                                                             1)(random_);
}

void simulated_fleet::start_query(policy::class_index rank,
                                  policy::key_range_set ranges)
{
    const auto now = scheduler_.now();
    policy::query wanted;
    wanted.index = index_name;
    wanted.ranges = std::move(ranges);
    wanted.rank = rank;
    wanted.deadline = now + classes_[rank].deadline;
    const auto number =
        ledger_.add_request(rank, false, now, wanted.deadline, wanted.ranges);
    wanted.body = std::to_string(number);
    const auto at = pick_node();
    const auto handle = [this, number](const policy::query_answer& answer) {
        ledger_.on_answer(number, answer, scheduler_.now());
    };
    at_node(at, {}, [this, at, number, wanted, handle] {
        if (kind_ == policy_kind::baseline) {
            baselines_[at]->run_query(number, wanted, handle);
        } else {
            nodes_[at]->run_query(number, wanted, handle);
        }
    });
}

void simulated_fleet::start_order(policy::class_index rank)
{
    const auto now = scheduler_.now();
    auto tried = std::make_shared<order_attempt>();
    tried->rank = rank;
    tried->number =
        ledger_.add_request(rank, true, now, now + classes_[rank].deadline,
                            key_range_set_of_everything());
    try_order(tried);
}

void simulated_fleet::try_order(const std::shared_ptr<order_attempt>& tried)
{
    ++tried->attempt;
    const auto at = pick_node();
    if (kind_ == policy_kind::baseline || tried->ticket) {
        send_order(tried, at);
        return;
    }
    // The ticket comes first; a caller that gets none has sent nothing.
    const auto ended = std::make_shared<bool>(false);
    const auto lost = [this, tried, ended] {
        if (std::exchange(*ended, true)) {
            return;
        }
        on_order_end(tried, {policy::order_status::not_run, "no ticket", {}});
    };
    at_node(
        at, shape_.link_time,
        [this, tried, at, ended] {
            if (*ended) {
                return;
            }
            tried->ticket = nodes_[at]->issue_ticket();
            *ended = true;
            send_order(tried, at);
        },
        lost);
    scheduler_.after(classes_[tried->rank].deadline + caller_patience, lost);
}

void simulated_fleet::send_order(const std::shared_ptr<order_attempt>& tried,
                                 std::size_t at)
{
    const auto deadline = classes_[tried->rank].deadline;
    const auto ended = std::make_shared<bool>(false);
    const auto end = [this, tried,
                      ended](const policy::order_outcome& outcome) {
        if (std::exchange(*ended, true)) {
            return;
        }
        on_order_end(tried, outcome);
    };
    const policy::order_outcome lost{policy::order_status::unknown, "lost", {}};
    at_node(
        at, shape_.link_time,
        [this, tried, at, end, deadline] {
            policy::order wanted;
            wanted.service = order_service;
            wanted.position = tried->number % policy::key_space_end;
            wanted.rank = tried->rank;
            wanted.deadline = scheduler_.now() + deadline;
            wanted.body = std::to_string(tried->number);
            if (kind_ == policy_kind::baseline) {
                baselines_[at]->run_order(tried->number, wanted, end);
            } else {
                nodes_[at]->run_order(tried->number, wanted, *tried->ticket,
                                      end);
            }
        },
        [end, lost] { end(lost); });
    scheduler_.after(deadline + caller_patience, [end, lost] { end(lost); });
}

void simulated_fleet::on_order_end(const std::shared_ptr<order_attempt>& tried,
                                   const policy::order_outcome& told)
{
    // Once an outcome is unknown, a later refusal of a retry does not make
    // the order one that was not run.
    tried->last = told;
    if (told.status == policy::order_status::not_run) {
        // A refused ticket is spent; the next attempt takes a new one.
        tried->ticket.reset();
    }
    const bool is_settled = told.status == policy::order_status::ran;
    if (!is_settled && tried->attempt < order_attempts) {
        scheduler_.after(caller_backoff, [this, tried] { try_order(tried); });
        return;
    }
    ledger_.on_outcome(tried->number, told, scheduler_.now());
}

// Events.

void simulated_fleet::schedule(const trace& wanted)
{
    std::uint64_t seed = shape_.seed;
    for (const auto& each : wanted.work) {
        schedule_arrivals(each, wanted.capacity(), ++seed);
    }
    for (const auto& each : wanted.events) {
        schedule_event(each);
    }
}

void simulated_fleet::schedule_arrivals(const arrivals& work, double capacity,
                                        std::uint64_t seed)
{
    const auto rate = work.is_rate ? work.amount : work.amount * capacity;
    if (rate <= 0) {
        return;
    }
    // Each arrival schedules the next, so that the queue stays short.
    auto source = std::make_shared<std::mt19937_64>(seed);
    const auto next = [this, work, rate, source](const auto& self,
                                                 runtime::time_point due) {
        const auto at =
            due + runtime::from_seconds(
                      std::exponential_distribution<>(rate)(*source));
        if (at >= work.until) {
            return;
        }
        scheduler_.at(at, [this, work, self, at] {
            if (work.is_order) {
                start_order(work.rank);
            } else {
                start_query(work.rank, key_range_set_of_everything());
            }
            self(self, at);
        });
    };
    next(next, work.from);
}

void simulated_fleet::schedule_event(const trace_event& event)
{
    if (event.kind == event_kind::rollover) {
        apply_rollover(event);
        return;
    }
    std::size_t count = described_.size();
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
        const bool is_hit = event.modulus == 0
                                ? target == event.target
                                : target % event.modulus == event.target;
        if (!is_hit) {
            continue;
        }
        scheduler_.at(event.at,
                      [this, event, target] { apply(event, target, true); });
        scheduler_.at(event.until,
                      [this, event, target] { apply(event, target, false); });
    }
}

void simulated_fleet::apply_rollover(const trace_event& event)
{
    // One replica of every shard after another, then the next replica.
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

void simulated_fleet::apply(const trace_event& event, std::size_t target,
                            bool is_begin)
{
    const auto fake = [&]() -> fake_upstream& {
        return upstream(described_[target].id);
    };
    switch (event.kind) {
    case event_kind::slow:
        fake().set_slowness(is_begin ? event.factor : 1);
        break;
    case event_kind::down:
        fake().set_down(is_begin);
        break;
    case event_kind::hang:
        fake().set_hanging(is_begin);
        break;
    case event_kind::lose_replies:
        fake().set_losing_replies(is_begin);
        break;
    case event_kind::drain:
        fake().set_draining(is_begin);
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
        heals_at_[target] = event.until;
        cut_off(target, is_begin);
        break;
    case event_kind::rollover:
        break;
    }
}

void simulated_fleet::split_shard(std::size_t number)
{
    auto& from = shards_[number];
    const auto target = (number + 1) % shape_.shards;
    // The upper half, at a key that holds an item.
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
    publish(make_deployment());
}

void simulated_fleet::publish(policy::deployment_pointer next)
{
    deployment_ = std::move(next);
    const bool is_first = epoch_ == 1;
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
        if (is_first) {
            nodes_[number]->set_deployment(deployment_);
            continue;
        }
        const auto lag = std::uniform_int_distribution<runtime::duration::rep>(
            0, max_spread.count())(random_);
        at_node(number, runtime::duration(lag),
                [this, number, seen = deployment_] {
                    nodes_[number]->set_deployment(seen);
                });
    }
}

void simulated_fleet::refresh_views()
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
            at_node(number, {},
                    [this, number, alive] { nodes_[number]->set_view(alive); });
        }
    }
}

void simulated_fleet::pause_node(std::size_t number, runtime::time_point until)
{
    nodes_[number]->pause_until(until);
    scheduler_.after(detection_time, [this] { refresh_views(); });
    scheduler_.at(until + rejoin_time, [this] { refresh_views(); });
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
    // Callbacks that refer to the old process check its incarnation; the
    // object stays until they are gone.
    replaced_.push_back(std::move(old));
    // Until it has heard from others, the new process knows only itself.
    std::vector<std::uint64_t> alone(nodes_.size(), 0);
    alone[number] = incarnation;
    nodes_[number]->set_deployment(deployment_);
    nodes_[number]->set_view(std::move(alone));
    for (std::size_t peer = 0; peer < nodes_.size(); ++peer) {
        if (peer == number) {
            continue;
        }
        at_node(peer, shape_.link_time,
                [this, peer, number] { nodes_[peer]->on_peer_lost(number); });
    }
    scheduler_.after(rejoin_time, [this] { refresh_views(); });
}

void simulated_fleet::cut_off(std::size_t domain, bool is_cut)
{
    is_cut_[domain] = is_cut;
    scheduler_.after(is_cut ? detection_time : rejoin_time,
                     [this] { refresh_views(); });
}

policy::key_range_set simulated_fleet::key_range_set_of_everything()
{
    return policy::key_range_set(std::span(&policy::whole_key_space, 1));
}

} // namespace tamarackhoist::replay
