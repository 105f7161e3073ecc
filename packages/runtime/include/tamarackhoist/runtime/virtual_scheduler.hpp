#ifndef TAMARACKHOIST_RUNTIME_VIRTUAL_SCHEDULER_HPP
#define TAMARACKHOIST_RUNTIME_VIRTUAL_SCHEDULER_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <tamarackhoist/runtime/paused_clock.hpp>
#include <vector>

namespace tamarackhoist::runtime
{

/// Runs callbacks in order of their due time on a paused clock. Callbacks of
/// equal time run in the order in which they were scheduled, so that a run
/// repeats exactly. Not thread-safe.
class virtual_scheduler
{
public:
    using callback = std::function<void()>;

    [[nodiscard]] time_point now() const { return clock_.now(); }
    [[nodiscard]] clock view() const { return clock_.view(); }

    /// Schedules `action` at `due`, or at once when `due` has passed.
    void at(time_point due, callback action);

    /// Schedules `action` after `delay`.
    void after(duration delay, callback action);

    /// Runs every callback that is due until `end`, then advances to `end`.
    void run_until(time_point end);

    [[nodiscard]] std::uint64_t executed() const { return executed_; }

private:
    struct entry {
        time_point due;
        std::uint64_t sequence;
        callback action;
    };
    struct later {
        bool operator()(const entry& left, const entry& right) const;
    };

    paused_clock clock_;
    std::priority_queue<entry, std::vector<entry>, later> queue_;
    std::uint64_t next_sequence_ = 0;
    std::uint64_t executed_ = 0;
};

} // namespace tamarackhoist::runtime

#endif
