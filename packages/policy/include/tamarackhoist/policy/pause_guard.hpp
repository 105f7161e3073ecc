#ifndef TAMARACKHOIST_POLICY_PAUSE_GUARD_HPP
#define TAMARACKHOIST_POLICY_PAUSE_GUARD_HPP

#include <atomic>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Detects that this process was paused, from the gap between two
/// observations of the clock. After a pause the process does not trust its
/// beliefs until it has heard from a peer again. Thread-safe.
class pause_guard
{
public:
    /// Interval at which a running process observes the clock.
    static constexpr runtime::duration tick = std::chrono::milliseconds(100);
    /// Gap that counts as a pause.
    static constexpr runtime::duration pause_gap =
        std::chrono::milliseconds(600);
    /// Time after a pause in which messages that were buffered during it are
    /// still being read, and each health endpoint is read once.
    static constexpr runtime::duration quarantine =
        std::chrono::milliseconds(1200);
    /// Time after which a process without peers trusts itself again.
    static constexpr runtime::duration lonely_quarantine =
        std::chrono::seconds(3);

    explicit pause_guard(runtime::time_point now);

    /// Records that the process runs at `now`; returns whether a pause just
    /// ended. Called on each tick and before each message is handled.
    bool observe(runtime::time_point now);

    /// Records an answer of a peer to a message that was sent at `sent_at`.
    void on_peer_heard(runtime::time_point sent_at);

    /// Returns whether work may be started.
    [[nodiscard]] bool is_trusted(runtime::time_point now) const;

private:
    std::atomic<runtime::duration::rep> observed_at_;
    std::atomic<runtime::duration::rep> resumed_at_{0};
    std::atomic<bool> is_confirmed_{true};
};

} // namespace tamarackhoist::policy

#endif
