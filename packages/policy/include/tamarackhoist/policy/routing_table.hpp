#ifndef TAMARACKHOIST_POLICY_ROUTING_TABLE_HPP
#define TAMARACKHOIST_POLICY_ROUTING_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// Routes of one version of the operator's configuration.
namespace tamarackhoist::policy
{

/// Whether a request may be executed more than once.
enum class repeatability { idempotent, at_most_once };

/// A service and the share of a route's requests that it gets.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// Where requests with one host and path prefix go, and what they may cost.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    repeatability repeat = repeatability::at_most_once;
    /// Longest time until the final answer.
    runtime::duration timeout{};
    /// Time at the caller within which an answer has its full value.
    runtime::duration latency_target{};
    /// Upstreams that one request may be sent to, for each shard.
    std::uint32_t max_attempts = 1;
    /// Rank of urgency; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// One service, or several by weight. Empty for a fan-out.
    std::vector<weighted_service> services;
    /// Services of a fan-out, one for each shard.
    std::vector<std::string> shards;
    /// Records in the answer of a fan-out.
    std::size_t top_records = 0;
    /// Least fraction of the shards that makes a fan-out a success.
    double min_coverage = 1.0;

    [[nodiscard]] bool is_fan_out() const { return !shards.empty(); }

    /// Returns whether a fan-out succeeds with the answers of `count` shards.
    [[nodiscard]] bool is_covered_by(std::size_t count) const;
};

/// What a caller may send, and how long it may take.
struct request_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    runtime::duration header_timeout = std::chrono::seconds(10);
    runtime::duration idle_timeout = std::chrono::seconds(30);
};

/// Properties of a service that the operator sets.
struct service_settings {
    /// Connections that one upstream accepts from the whole fleet.
    std::uint32_t max_connections = 1;
};

/// Immutable routes of one configuration version.
class routing_table
{
public:
    routing_table() = default;
    routing_table(std::uint64_t version, std::vector<route> routes,
                  std::map<std::string, service_settings, std::less<>> services,
                  request_limits limits);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const request_limits& limits() const { return limits_; }
    [[nodiscard]] std::size_t route_count() const { return routes_.size(); }
    [[nodiscard]] const std::vector<route>& routes() const { return routes_; }

    /// Returns the route of `host` with the longest prefix of `path`, or
    /// nullptr. A query string is not part of `path`.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

    /// Returns the settings of `service`, or nullptr.
    [[nodiscard]] const service_settings*
    find_service(std::string_view service) const;

private:
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::map<std::string, service_settings, std::less<>> services_;
    request_limits limits_;
    /// Indexes into `routes_` by host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

} // namespace tamarackhoist::policy

#endif
