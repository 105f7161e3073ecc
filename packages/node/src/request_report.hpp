#ifndef TAMARACKHOIST_NODE_REQUEST_REPORT_HPP
#define TAMARACKHOIST_NODE_REQUEST_REPORT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>

/// Log lines and metrics of a forwarded request.
namespace tamarackhoist::node
{

/// The data of a request that its log lines contain.
struct request_summary {
    std::string id;
    std::string route;
    /// Version of the routing configuration that the request was routed by.
    std::uint64_t version = 0;
    policy::forward_times times;
};

/// Logs a decision to attempt a shard again or not to, and its reasons.
void log_decision(std::string_view request_id,
                  const policy::attempt_decision& decision);

/// Counts a finished request in `metrics`. Logs every request that is not
/// complete, and a sample of the complete ones.
void report_request(const request_summary& request,
                    const policy::forward_coordinator& coordinator,
                    policy::forward_outcome outcome, runtime::time_point now,
                    const policy::upstream_directory& directory,
                    operators::metrics& metrics);

} // namespace tamarackhoist::node

#endif
