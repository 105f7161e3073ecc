#ifndef TAMARACKHOIST_NODE_REQUEST_REPORT_HPP
#define TAMARACKHOIST_NODE_REQUEST_REPORT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>

/// What the log and the metrics say about one forwarded request.
namespace tamarackhoist::node
{

struct request_summary {
    std::string id;
    std::string route;
    /// Version of the configuration that the request belongs to.
    std::uint64_t version = 0;
    policy::forward_times times;
};

/// Logs why a shard was attempted again, or was not.
void log_decision(std::string_view request_id,
                  const policy::attempt_decision& decision);

/// Counts a request that is over, and logs it unless it is complete.
void report_request(const request_summary& request,
                    const policy::forward_coordinator& coordinator,
                    policy::forward_outcome outcome, runtime::time_point now,
                    const policy::upstream_directory& directory,
                    operators::metrics& metrics);

} // namespace tamarackhoist::node

#endif
