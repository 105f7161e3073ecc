#ifndef TAMARACKHOIST_POLICY_PAUSE_GUARD_HPP
#define TAMARACKHOIST_POLICY_PAUSE_GUARD_HPP

#include <atomic>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Detects that this process was paused, from a gap between two observations
/// of the clock. After a pause its view of peers and upstreams may be stale,
/// so it must not start work until a quarantine has passed and a peer has
/// answered. Thread-safe.
class pause_guard
{
public:
    /// Interval at which the process calls `observe`.
    static constexpr runtime::duration observation_interval =
        std::chrono::milliseconds(100);
    /// Minimum gap between observations that counts as a pause.
    static constexpr runtime::duration min_pause =
        std::chrono::milliseconds(600);
    /// Minimum time after a pause without new work. In this time messages that
    /// were buffered during the pause are read, and each health endpoint is
    /// read once.
    static constexpr runtime::duration min_quarantine =
        std::chrono::milliseconds(1200);
    /// Time after a pause from which work starts even if no peer has answered,
    /// as on a node without peers.
    static constexpr runtime::duration max_quarantine = std::chrono::seconds(3);

    explicit pause_guard(runtime::time_point now);

    /// Records that the process runs at `now`; returns whether a pause just
    /// ended. Called at each interval and before each message is handled.
    bool observe(runtime::time_point now);

    /// Records that a peer answered a message that was sent at `sent_at`.
    /// Answers to messages from before a pause are ignored.
    void on_peer_heard(runtime::time_point sent_at);

    /// Returns whether work may be started.
    [[nodiscard]] bool can_start_work(runtime::time_point now) const;

private:
    std::atomic<runtime::duration::rep> observed_at_;
    std::atomic<runtime::duration::rep> resumed_at_{0};
    std::atomic<bool> has_peer_answered_{true};
};

} // namespace tamarackhoist::policy

#endif
