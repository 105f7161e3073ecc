#ifndef TAMARACKHOIST_POLICY_ROUTING_TABLE_HPP
#define TAMARACKHOIST_POLICY_ROUTING_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// Routes and limits of one version of the operator's configuration.
namespace tamarackhoist::policy
{

/// Whether a request may be executed more than once.
enum class repeatability { idempotent, at_most_once };

/// A service and its weight, which determines its share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

/// Target services and limits of the requests with one host and path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    repeatability repeat = repeatability::at_most_once;
    /// Maximum time until the final answer.
    runtime::duration timeout{};
    /// Latency, measured at the caller, within which answers should arrive.
    runtime::duration latency_target{};
    /// Maximum number of upstreams that one request is sent to, for each shard.
    std::uint32_t max_attempts = 1;
    /// Priority; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// One service, or several that share the requests by weight. Empty for a
    /// fan-out.
    std::vector<weighted_service> services;
    /// Services of a fan-out, one for each shard.
    std::vector<std::string> shards;
    /// Maximum number of records in the answer of a fan-out.
    std::size_t top_records = 0;
    /// Minimum fraction of shards that must answer for a fan-out to succeed.
    double min_coverage = 1.0;

    [[nodiscard]] bool is_fan_out() const { return !shards.empty(); }

    /// Returns whether `answered_shards` answers meet the minimum coverage of a
    /// fan-out. At least one answer is always required.
    [[nodiscard]] bool has_min_coverage(std::size_t answered_shards) const;
};

/// Limits on the size and the duration of a caller's requests.
struct request_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    runtime::duration header_timeout = std::chrono::seconds(10);
    runtime::duration idle_timeout = std::chrono::seconds(30);
};

/// Operator settings of a service.
struct service_settings {
    /// Maximum number of connections from the whole fleet to one upstream.
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
    /// nullptr if none matches. `path` must not include the query string.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

    /// Returns the settings of `service`, or nullptr if it has none.
    [[nodiscard]] const service_settings*
    find_service(std::string_view service) const;

private:
    std::uint64_t version_ = 0;
    std::vector<route> routes_;
    std::map<std::string, service_settings, std::less<>> services_;
    request_limits limits_;
    /// Indexes into `routes_` by host, sorted by descending prefix length.
    std::map<std::string, std::vector<std::size_t>, std::less<>> by_host_;
};

} // namespace tamarackhoist::policy

#endif
