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

/// Sizes of the fleet that a trace is replayed on.
struct fleet_shape {
    std::size_t nodes = 6;
    std::size_t domains = 4;
    std::size_t shards = 20;
    std::size_t replicas = 2;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    std::size_t order_upstreams = 4;
    runtime::duration service_time = std::chrono::milliseconds(6);
    runtime::duration connect_time = std::chrono::milliseconds(6);
    /// One way, between failure domains.
    runtime::duration link_time = std::chrono::microseconds(500);
    std::uint64_t seed = 1;
};

/// Requests of one class that arrive at random with a mean rate.
struct arrivals {
    policy::class_index rank = 0;
    bool is_order = false;
    runtime::time_point from;
    runtime::time_point until;
    /// Part of the fleet's capacity, or requests a second when `is_rate`.
    double amount = 0;
    bool is_rate = false;
};

enum class event_kind {
    /// An upstream answers `factor` times slower.
    slow,
    /// An upstream refuses connections.
    down,
    /// An upstream takes requests and never answers.
    hang,
    /// An upstream runs requests whose replies are lost.
    lose_replies,
    /// An upstream drains.
    drain,
    /// Upstreams move to the next index version, one after another.
    rollover,
    /// Half of a shard moves to another shard's replicas.
    split,
    /// A node stands still.
    pause,
    /// A node is replaced by one with empty memory.
    replace,
    /// A failure domain is cut off from the others.
    partition
};

struct trace_event {
    event_kind kind = event_kind::slow;
    runtime::time_point at;
    runtime::time_point until;
    /// Upstream, node, shard or failure domain, by number.
    std::size_t target = 0;
    /// Every target whose number has this remainder modulo `modulus`.
    std::size_t modulus = 0;
    double factor = 1;
};

struct time_window {
    runtime::time_point from;
    runtime::time_point until;
};

/// One stated outcome.
struct outcome {
    std::string name;
    std::string measure;
    policy::class_index rank = 0;
    time_window window;
    /// Window that the first one is compared with.
    time_window over;
    double bound = 0;
    bool is_upper_bound = true;
    /// Stated only to be reported.
    bool is_report = false;
};

struct trace {
    std::string name;
    fleet_shape shape;
    std::vector<policy::priority_class> classes;
    std::vector<arrivals> work;
    std::vector<trace_event> events;
    std::vector<outcome> outcomes;

    /// Returns when the last arrival ends.
    [[nodiscard]] runtime::time_point end() const;

    /// Returns the queries a second that the upstreams can serve, each over
    /// every shard.
    [[nodiscard]] double capacity() const;
};

/// Parses a trace; an error names its line.
[[nodiscard]] runtime::result<trace, std::string>
parse_trace(std::string_view text);

} // namespace tamarackhoist::replay

#endif
