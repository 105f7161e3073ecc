#ifndef TAMARACKHOIST_RUNTIME_EVENT_HPP
#define TAMARACKHOIST_RUNTIME_EVENT_HPP

#include <cstdint>
#include <span>
#include <string_view>

/// Numbered log events. They are documented in docs/EVENTS.md.
namespace tamarackhoist::runtime
{

/// Number of a log event. A number is never reused for another meaning.
enum class event_number {
    node_started = 100,
    node_ready = 101,
    node_leaving = 102,
    node_stopped = 103,
    resumed_after_pause = 104,
    settings_changed = 105,
    node_overloaded = 106,
    node_caught_up = 107,
    node_stops_sending = 108,
    caller_request_rejected = 201,
    request_not_complete = 202,
    request_attempted_again = 203,
    request_sampled = 204,
    request_not_executed = 205,
    shard_missing = 206,
    lines_left_out = 207,
    upstream_unreachable = 300,
    upstream_draining = 301,
    upstream_added = 302,
    upstream_gone = 303,
    upstream_response_rejected = 304,
    upstream_paused = 305,
    upstream_pause_malformed = 306,
    peer_connection_failed = 400,
    peer_message_rejected = 401,
    member_joined = 410,
    member_suspected = 411,
    member_left = 412,
    domain_lost = 420,
    domain_regained = 421,
    section_accepted = 500,
    section_refused = 501,
    routes_in_force = 502,
    platform_read_failed = 510,
    platform_answer_rejected = 511,
    platform_regained = 512,
    news_role_changed = 513,
    store_restored = 514,
    restored_store_listed = 515,
    configuration_held_back = 516,
    grace_period_started = 517,
    ownership_changed = 520,
    relay_failed = 530,
    request_outcome_unknown = 600,
};

enum class severity { information, warning, error };

/// Severity and name of an event.
struct event_description {
    event_number number;
    severity level;
    std::string_view name;
};

/// Returns the description of every event, ordered by number.
[[nodiscard]] std::span<const event_description> event_catalogue();

/// Writes one event to the log with its number, its name and `detail`.
void log_event(event_number number, std::string_view detail);

/// Starts logging to standard output, with one JSON object per line. Nothing is
/// logged before this call. `node` is the name of this process.
void configure_log(std::string_view node);

/// Waits until the lines logged so far are written, for 200 ms at most.
void flush_log();

/// Returns the number of log lines that were dropped because the output was not
/// read fast enough.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Returns the number of log lines that were suppressed by the rate limit of
/// their event.
[[nodiscard]] std::uint64_t suppressed_log_lines();

} // namespace tamarackhoist::runtime

#endif
