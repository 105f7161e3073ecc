#ifndef TAMARACKHOIST_POLICY_CONCURRENCY_LIMIT_HPP
#define TAMARACKHOIST_POLICY_CONCURRENCY_LIMIT_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Adaptive limit of the requests that run at one upstream at a time. Starts
/// at the configured slots, which are also its maximum, falls when the upstream
/// sheds or cannot be reached, and rises with each success. Not thread-safe.
class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots);

    /// Returns the number of requests allowed in flight, at least 1.
    [[nodiscard]] std::uint32_t allowed() const;

    /// Raises the limit.
    void on_success();

    /// Lowers the limit. Requests that are shed within `decrease_interval`
    /// lower it only once, since they report the same overload.
    void on_shed(runtime::time_point now);

    /// Sets the limit to one request, for an upstream that may have restarted
    /// with cold caches.
    void reset_to_minimum();

    /// Minimum time between two decreases.
    static constexpr runtime::duration decrease_interval =
        std::chrono::milliseconds(20);

private:
    const double slots_;
    double limit_;
    runtime::time_point last_decrease_at_;
};

} // namespace tamarackhoist::policy

#endif
