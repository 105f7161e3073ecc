#include "request_report.hpp"

#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using policy::forward_outcome;
using runtime::event_number;

namespace
{

/// One in this many complete requests is logged, selected by the hash of its
/// identifier.
constexpr std::uint64_t requests_per_sample = 64;

event_number select_event(forward_outcome outcome)
{
    switch (outcome) {
    case forward_outcome::complete:
        return event_number::request_sampled;
    case forward_outcome::not_executed:
        return event_number::request_not_executed;
    default:
        return event_number::request_not_complete;
    }
}

void log_outcome(const request_summary& request,
                 const policy::forward_coordinator& coordinator,
                 forward_outcome outcome, runtime::duration elapsed)
{
    const auto& counts = coordinator.counts();
    const auto& times = request.times;
    runtime::log_line(select_event(outcome))
        .add("request", request.id)
        .add("route", request.route)
        .add("version", request.version)
        .add("outcome", policy::to_string(outcome))
        .add("answered", coordinator.answered_count())
        .add("shards", coordinator.shard_count())
        .add("attempts", counts.attempts)
        .add("hedges", counts.hedges)
        .add("retries", counts.retries)
        .add("denied_by_budget", counts.denied_by_budget)
        .add("elapsed_ms", elapsed)
        .add("on_time_within_ms", times.on_time_until - times.started)
        .add("deadline_ms", times.deadline - times.started);
}

void log_missing_shards(const request_summary& request,
                        const policy::forward_coordinator& coordinator,
                        const policy::upstream_directory& directory)
{
    for (std::size_t shard = 0; shard < coordinator.shard_count(); ++shard) {
        if (coordinator.winner(shard)) {
            continue;
        }
        const auto last = coordinator.last_attempt(shard);
        const auto& service = coordinator.service(shard);
        runtime::log_line(event_number::shard_missing)
            .add("request", request.id)
            .add("service", service)
            .add("attempts", last.count)
            .add("upstream", last.upstream)
            .add("result", last.result)
            .add("ready_upstreams", directory.find_ready(service).size());
    }
}

void count_request(const request_summary& request,
                   const policy::forward_counts& counts,
                   forward_outcome outcome, runtime::duration elapsed,
                   operators::metrics& metrics)
{
    const auto route = "route=\"" + request.route + "\"";
    metrics.count({"tamarackhoist_requests_total",
                   route + ",outcome=\"" + policy::to_string(outcome) + "\""});
    metrics.observe({"tamarackhoist_request_seconds", route}, elapsed);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"first\""},
                  counts.attempts - counts.hedges - counts.retries);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"hedge\""},
                  counts.hedges);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"retry\""},
                  counts.retries);
    metrics.count({"tamarackhoist_attempts_denied_total", ""},
                  counts.denied_by_budget);
}

} // namespace

void log_decision(std::string_view request_id,
                  const policy::attempt_decision& decision)
{
    runtime::log_line(event_number::request_attempted_again)
        .add("request", request_id)
        .add("decision", policy::to_string(decision.kind))
        .add("service", decision.service)
        .add("previous", decision.previous)
        .add("chosen", decision.chosen)
        .add("waited_ms", decision.waited)
        .add("hedge_delay_ms", decision.hedge_delay)
        .add("budget_left", decision.budget_left);
}

void report_request(const request_summary& request,
                    const policy::forward_coordinator& coordinator,
                    forward_outcome outcome, runtime::time_point now,
                    const policy::upstream_directory& directory,
                    operators::metrics& metrics)
{
    const auto elapsed = now - request.times.started;
    count_request(request, coordinator.counts(), outcome, elapsed, metrics);
    if (outcome != forward_outcome::complete) {
        log_outcome(request, coordinator, outcome, elapsed);
        log_missing_shards(request, coordinator, directory);
        return;
    }
    if (policy::hash_text(request.id) % requests_per_sample == 0) {
        log_outcome(request, coordinator, outcome, elapsed);
    }
}

} // namespace tamarackhoist::node
