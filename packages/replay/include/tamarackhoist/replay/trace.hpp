#ifndef TAMARACKHOIST_REPLAY_TRACE_HPP
#define TAMARACKHOIST_REPLAY_TRACE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/deployment.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// Replay of recorded traces through the policy in virtual time.
namespace tamarackhoist::replay
{

/// Size and timing of the simulated fleet that a trace is replayed on.
struct fleet_shape {
    std::size_t nodes = 6;
    std::size_t domains = 4;
    std::size_t shards = 20;
    /// Replicas of each shard.
    std::size_t replicas = 2;
    /// Requests that an upstream runs at once.
    std::uint32_t slots = 2;
    /// Most connections that an upstream accepts.
    std::uint32_t connections = 25;
    std::size_t order_upstreams = 4;
    /// Mean service time of a request at an upstream.
    runtime::duration service_time = std::chrono::milliseconds(6);
    runtime::duration connect_time = std::chrono::milliseconds(6);
    /// One-way delay between failure domains.
    runtime::duration link_time = std::chrono::microseconds(500);
    std::uint64_t seed = 1;
};

/// Requests of one class that arrive as a Poisson process.
struct arrival_process {
    policy::class_index rank = 0;
    bool is_order = false;
    runtime::time_point from;
    runtime::time_point until;
    /// Requests per second if `is_rate`, otherwise a fraction of the fleet's
    /// capacity.
    double amount = 0;
    bool is_rate = false;
};

enum class event_kind {
    /// An upstream takes `factor` times as long to answer.
    slow,
    /// An upstream refuses connections.
    down,
    /// An upstream accepts requests and never answers.
    hang,
    /// An upstream runs requests whose replies are lost.
    lose_replies,
    /// An upstream drains.
    drain,
    /// The upstreams of the index switch to index version `factor`, one after
    /// another.
    rollover,
    /// The upper half of a shard moves to the replicas of the next shard.
    split,
    /// A node is paused until the event ends.
    pause,
    /// A node is replaced by a new process without state.
    replace,
    /// A failure domain is cut off from the others.
    partition
};

struct trace_event {
    event_kind kind = event_kind::slow;
    runtime::time_point at;
    runtime::time_point until;
    /// Number of the upstream, node, shard or failure domain, by kind. If
    /// `modulus` is not 0, the event has several targets: those whose number
    /// modulo `modulus` equals `target`.
    std::size_t target = 0;
    std::size_t modulus = 0;
    double factor = 1;
};

struct time_window {
    runtime::time_point from;
    runtime::time_point until;
};

/// A bound that a trace states for a measure of its replay.
struct expected_outcome {
    std::string name;
    std::string measure;
    policy::class_index rank = 0;
    time_window window;
    /// Window that `window` is compared with, by measures that compare two.
    time_window reference_window;
    double bound = 0;
    bool is_upper_bound = true;
    /// The measure is only reported, without a bound.
    bool is_report_only = false;
};

struct trace {
    std::string name;
    fleet_shape shape;
    std::vector<policy::priority_class> classes;
    std::vector<arrival_process> arrivals;
    std::vector<trace_event> events;
    std::vector<expected_outcome> outcomes;

    /// Returns the end of the last arrival process.
    [[nodiscard]] runtime::time_point arrivals_end() const;

    /// Returns the number of queries per second, each over all shards, that the
    /// upstreams can serve.
    [[nodiscard]] double capacity() const;
};

/// Parses a trace. The error names the line and the key or value concerned.
[[nodiscard]] runtime::result<trace, std::string>
parse_trace(std::string_view text);

} // namespace tamarackhoist::replay

#endif
