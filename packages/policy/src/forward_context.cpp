#include <tamarackhoist/policy/forward_context.hpp>

#include <algorithm>
#include <cassert>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;

namespace
{

constexpr double median_probability = 0.5;
/// Above the share of ordinary answers, below that of paused replicas.
constexpr double delayed_probability = 0.92;
constexpr duration latency_memory = std::chrono::seconds(4);
/// Parts of the latency target that stand in until latencies are known.
constexpr int typical_part = 4;
constexpr int delayed_part = 3;
/// A started upstream is this much slower until it is warm.
constexpr double cold_factor = 1.6;
/// Part of the typical latency that an upstream of the own failure domain
/// may be slower before another domain's is taken: bytes between failure
/// domains cost.
constexpr double remote_penalty = 0.5;
/// A failed attempt costs a further one, of which a shard has few.
constexpr double failure_weight = 6.0;
/// Puts every suspect upstream behind all others.
constexpr double suspect_penalty_s = 10.0;
/// Spreads equal upstreams among the nodes.
constexpr double tie_spread = 0.05;

} // namespace

route_latency::route_latency()
    : median_(median_probability, latency_memory),
      high_(delayed_probability, latency_memory)
{
}

void route_latency::add(duration latency, time_point now)
{
    median_.add(latency, now);
    high_.add(latency, now);
}

duration route_latency::typical(const route& of) const
{
    return median_.quantile().value_or(of.latency_target / typical_part);
}

duration route_latency::delayed(const route& of) const
{
    const auto bound = of.latency_target / delayed_part;
    return std::min(high_.quantile().value_or(bound), bound);
}

forward_context::forward_context(std::string failure_domain,
                                 extra_attempt_limits limits,
                                 std::uint64_t random_seed, time_point now)
    : failure_domain_(std::move(failure_domain)), limits_(limits),
      started_at_(now),
      random_(static_cast<std::minstd_rand::result_type>(random_seed))
{
}

extra_attempt_window& forward_context::extras(std::string_view service)
{
    const auto found = extras_.find(service);
    if (found != extras_.end()) {
        return found->second;
    }
    return extras_
        .emplace(std::string(service),
                 extra_attempt_window(limits_, started_at_))
        .first->second;
}

void forward_context::set_allowance(double allowance)
{
    limits_.allowance = allowance;
    for (auto& [service, window] : extras_) {
        window.set_allowance(allowance);
    }
}

route_latency& forward_context::latency(std::string_view route_name)
{
    const auto found = latencies_.find(route_name);
    if (found != latencies_.end()) {
        return found->second;
    }
    return latencies_.emplace(std::string(route_name), route_latency())
        .first->second;
}

const std::string& forward_context::next_service(const route& of)
{
    assert(!of.services.empty());
    if (of.services.size() == 1) {
        return of.services.front().service;
    }
    auto found = credits_.find(of.name);
    if (found == credits_.end()) {
        found =
            credits_.emplace(of.name, std::map<std::string, double>()).first;
    }
    auto& credits = found->second;
    double total = 0.0;
    const weighted_service* chosen = nullptr;
    for (const auto& each : of.services) {
        total += each.weight;
        credits[each.service] += each.weight;
        if (chosen == nullptr ||
            credits[each.service] > credits[chosen->service]) {
            chosen = &each;
        }
    }
    credits[chosen->service] -= total;
    return chosen->service;
}

double forward_context::expected_seconds(const tracked_upstream& upstream,
                                         duration typical, time_point now)
{
    const auto base = runtime::to_seconds(typical);
    const auto& registration = upstream.registration;
    auto expected = base * upstream.health.slowness(now);
    if (now < upstream.warm_at) {
        expected *= cold_factor;
    }
    expected *= 1.0 + static_cast<double>(upstream.in_flight) /
                          std::max(1U, registration.slots);
    expected *= 1.0 + failure_weight * upstream.health.failure_rate(now);
    if (registration.failure_domain != failure_domain_) {
        expected += base * remote_penalty;
    }
    if (upstream.health.is_suspect(now)) {
        expected += suspect_penalty_s;
    }
    std::uniform_real_distribution<double> spread(0.0, tie_spread);
    return expected * (1.0 + spread(random_));
}

upstream_handle
forward_context::choose(std::span<const upstream_handle> candidates,
                        std::span<const upstream_handle> excluded,
                        duration typical, time_point now)
{
    upstream_handle best;
    double best_seconds = 0.0;
    for (const auto& candidate : candidates) {
        if (std::find(excluded.begin(), excluded.end(), candidate) !=
            excluded.end()) {
            continue;
        }
        const auto seconds = expected_seconds(*candidate, typical, now);
        if (best == nullptr || seconds < best_seconds) {
            best = candidate;
            best_seconds = seconds;
        }
    }
    return best;
}

} // namespace tamarackhoist::policy
