#ifndef TAMARACKHOIST_RUNTIME_VIRTUAL_SCHEDULER_HPP
#define TAMARACKHOIST_RUNTIME_VIRTUAL_SCHEDULER_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <tamarackhoist/runtime/paused_clock.hpp>
#include <vector>

namespace tamarackhoist::runtime
{

/// Runs callbacks in the order of their due times, on simulated time. Callbacks
/// with equal due times run in the order in which they were scheduled, so that
/// runs are reproducible. Not thread-safe.
class virtual_scheduler
{
public:
    using callback = std::function<void()>;

    [[nodiscard]] time_point now() const { return clock_.now(); }
    /// Returns a clock that reads the simulated time.
    [[nodiscard]] clock view() const { return clock_.view(); }

    /// Schedules `action` at `due`, or at the current time if `due` has passed.
    void at(time_point due, callback action);

    /// Schedules `action` after `delay`.
    void after(duration delay, callback action);

    /// Runs all callbacks that are due by `end`, including those scheduled
    /// meanwhile, then advances the time to `end`.
    void run_until(time_point end);

    /// Number of callbacks run so far.
    [[nodiscard]] std::uint64_t executed() const { return executed_; }

private:
    struct entry {
        time_point due;
        std::uint64_t sequence;
        callback action;
    };
    /// Orders the queue so that the entry that is due first is at its top.
    struct is_due_later {
        bool operator()(const entry& left, const entry& right) const;
    };

    paused_clock clock_;
    std::priority_queue<entry, std::vector<entry>, is_due_later> queue_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t executed_ = 0;
};

} // namespace tamarackhoist::runtime

#endif
