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

/// Latencies of one route at all upstreams.
class route_latency
{
public:
    route_latency();

    void add(runtime::duration latency, runtime::time_point now);

    /// Usual latency; a part of the target until enough is known.
    [[nodiscard]] runtime::duration typical(const route& of) const;

    /// Latency after which an answer counts as delayed.
    [[nodiscard]] runtime::duration delayed(const route& of) const;

private:
    latency_window median_;
    latency_window high_;
};

/// What the requests of one node share: budgets, learned latencies and the
/// choice of upstreams. Not thread-safe.
class forward_context
{
public:
    forward_context(std::string failure_domain, extra_attempt_limits limits,
                    std::uint64_t random_seed, runtime::time_point now);

    [[nodiscard]] extra_attempt_window& extras(std::string_view service);
    /// Changes this node's share of the extra attempts allowed besides.
    void set_allowance(double allowance);

    [[nodiscard]] route_latency& latency(std::string_view route_name);

    /// Returns the service that gets the next request of a weighted route, so
    /// that each service's share follows its weight closely.
    [[nodiscard]] const std::string& next_service(const route& of);

    /// Returns the candidate with the least expected latency that is not in
    /// `excluded`, or nullptr.
    [[nodiscard]] upstream_handle
    choose(std::span<const upstream_handle> candidates,
           std::span<const upstream_handle> excluded, runtime::duration typical,
           runtime::time_point now);

private:
    [[nodiscard]] double expected_seconds(const tracked_upstream& upstream,
                                          runtime::duration typical,
                                          runtime::time_point now);

    const std::string failure_domain_;
    extra_attempt_limits limits_;
    const runtime::time_point started_at_;
    std::minstd_rand random_;
    std::map<std::string, extra_attempt_window, std::less<>> extras_;
    std::map<std::string, route_latency, std::less<>> latencies_;
    /// Credit of each service of a weighted route, by route name.
    std::map<std::string, std::map<std::string, double>, std::less<>> credits_;
};

} // namespace tamarackhoist::policy

#endif
