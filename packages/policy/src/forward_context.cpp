#include <tamarackhoist/policy/forward_context.hpp>

#include <algorithm>
#include <cassert>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;

namespace
{

constexpr double typical_quantile = 0.5;
/// High enough that ordinary answers lie below this quantile, low enough that
/// answers of paused replicas lie above it.
constexpr double delayed_quantile = 0.92;
constexpr duration latency_window_period = std::chrono::seconds(4);
/// Fractions of the latency target: the typical latency that is assumed until
/// there are enough samples, and the upper limit of the delay threshold.
constexpr int typical_latency_divisor = 4;
constexpr int max_delay_threshold_divisor = 3;
/// Factor by which an upstream is expected to be slower while it warms up.
constexpr double warm_up_slowdown = 1.6;
/// Penalty for upstreams of other failure domains, as a fraction of the typical
/// latency: traffic between failure domains has a cost.
constexpr double remote_domain_penalty = 0.5;
/// Weight of an upstream's failure rate. A failure uses up one of the few
/// attempts of a shard.
constexpr double failure_weight = 6.0;
/// Large enough to rank every suspect upstream behind all others.
constexpr double suspect_penalty_s = 10.0;
/// Random factor that makes nodes choose differently among equal upstreams.
constexpr double max_tie_break_jitter = 0.05;

} // namespace

route_latency::route_latency()
    : typical_(typical_quantile, latency_window_period),
      delayed_(delayed_quantile, latency_window_period)
{
}

void route_latency::add(duration latency, time_point now)
{
    typical_.add(latency, now);
    delayed_.add(latency, now);
}

duration route_latency::typical_latency(const route& route) const
{
    return typical_.quantile().value_or(route.latency_target /
                                        typical_latency_divisor);
}

duration route_latency::delay_threshold(const route& route) const
{
    const auto bound = route.latency_target / max_delay_threshold_divisor;
    return std::min(delayed_.quantile().value_or(bound), bound);
}

forward_context::forward_context(std::string failure_domain,
                                 extra_attempt_limits limits,
                                 std::uint64_t random_seed, time_point now)
    : failure_domain_(std::move(failure_domain)), limits_(limits),
      started_at_(now),
      random_(static_cast<std::minstd_rand::result_type>(random_seed))
{
}

extra_attempt_window& forward_context::extra_attempts(std::string_view service)
{
    const auto found = extra_attempts_.find(service);
    if (found != extra_attempts_.end()) {
        return found->second;
    }
    return extra_attempts_
        .emplace(std::string(service),
                 extra_attempt_window(limits_, started_at_))
        .first->second;
}

void forward_context::set_allowance(double allowance)
{
    limits_.allowance = allowance;
    for (auto& [service, window] : extra_attempts_) {
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

const std::string& forward_context::next_service(const route& route)
{
    assert(!route.services.empty());
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto found = credits_.find(route.name);
    if (found == credits_.end()) {
        found =
            credits_.emplace(route.name, std::map<std::string, double>()).first;
    }
    auto& credits = found->second;
    double total = 0.0;
    const weighted_service* chosen = nullptr;
    for (const auto& candidate : route.services) {
        total += candidate.weight;
        credits[candidate.service] += candidate.weight;
        if (chosen == nullptr ||
            credits[candidate.service] > credits[chosen->service]) {
            chosen = &candidate;
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
        expected *= warm_up_slowdown;
    }
    expected *= 1.0 + static_cast<double>(upstream.in_flight) /
                          std::max(1U, registration.slots);
    expected *= 1.0 + failure_weight * upstream.health.failure_rate(now);
    if (registration.failure_domain != failure_domain_) {
        expected += base * remote_domain_penalty;
    }
    if (upstream.health.is_suspect(now)) {
        expected += suspect_penalty_s;
    }
    std::uniform_real_distribution<double> jitter(0.0, max_tie_break_jitter);
    return expected * (1.0 + jitter(random_));
}

upstream_handle
forward_context::choose_upstream(std::span<const upstream_handle> candidates,
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
        if (!candidate->permission(now).is_granted()) {
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
