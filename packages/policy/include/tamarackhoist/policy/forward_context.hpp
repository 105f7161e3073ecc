#ifndef TAMARACKHOIST_POLICY_FORWARD_CONTEXT_HPP
#define TAMARACKHOIST_POLICY_FORWARD_CONTEXT_HPP

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/extra_attempt_window.hpp>
#include <tamarackhoist/policy/latency_window.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>

namespace tamarackhoist::policy
{

/// Estimates the latencies of one route across all upstreams.
class route_latency
{
public:
    route_latency();

    void add(runtime::duration latency, runtime::time_point now);

    /// Returns the median latency, or a fraction of the latency target until
    /// there are enough samples.
    [[nodiscard]] runtime::duration typical_latency(const route& route) const;

    /// Returns the latency above which an answer counts as delayed: a high
    /// quantile of recent latencies, at most a fraction of the latency target.
    [[nodiscard]] runtime::duration delay_threshold(const route& route) const;

private:
    latency_window typical_;
    latency_window delayed_;
};

/// State that all forwarded requests of one node share: extra attempt budgets,
/// measured latencies and the selection of upstreams. Not thread-safe.
class forward_context
{
public:
    forward_context(std::string failure_domain, extra_attempt_limits limits,
                    std::uint64_t random_seed, runtime::time_point now);

    /// Returns the extra attempt budget of `service`, created at the first use.
    [[nodiscard]] extra_attempt_window&
    extra_attempts(std::string_view service);

    /// Sets `extra_attempt_limits::allowance` for all services.
    void set_allowance(double allowance);

    /// Returns the latencies of a route, created at the first use.
    [[nodiscard]] route_latency& latency(std::string_view route_name);

    /// Returns the service that gets the next request of `route`, by smooth
    /// weighted round-robin. `route` must have at least one service.
    [[nodiscard]] const std::string& next_service(const route& route);

    /// Returns the candidate with the lowest expected latency that is not in
    /// `excluded`, or nullptr if there is none. `typical` is the usual latency
    /// of the route.
    [[nodiscard]] upstream_handle
    choose_upstream(std::span<const upstream_handle> candidates,
                    std::span<const upstream_handle> excluded,
                    runtime::duration typical, runtime::time_point now);

private:
    [[nodiscard]] double expected_seconds(const tracked_upstream& upstream,
                                          runtime::duration typical,
                                          runtime::time_point now);

    const std::string failure_domain_;
    extra_attempt_limits limits_;
    const runtime::time_point started_at_;
    std::minstd_rand random_;
    std::map<std::string, extra_attempt_window, std::less<>> extra_attempts_;
    std::map<std::string, route_latency, std::less<>> latencies_;
    /// Round-robin credits by route name and service.
    std::map<std::string, std::map<std::string, double>, std::less<>> credits_;
};

} // namespace tamarackhoist::policy

#endif
