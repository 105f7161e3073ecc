#ifndef TAMARACKHOIST_POLICY_CONCURRENCY_LIMIT_HPP
#define TAMARACKHOIST_POLICY_CONCURRENCY_LIMIT_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Number of requests that one upstream may serve at a time. Starts from the
/// document's slots, falls when the upstream sheds or fails, and rises again
/// with each success. Not thread-safe.
class concurrency_limit
{
public:
    explicit concurrency_limit(std::uint32_t slots);

    /// Returns the number of requests allowed in flight, at least 1.
    [[nodiscard]] std::uint32_t allowed() const;

    void on_success();

    /// Lowers the limit. Sheds that follow each other within
    /// `decrease_interval` count once, since they report the same overload.
    void on_shed(runtime::time_point now);

    /// Returns to one request at a time, for an upstream that starts cold.
    void restart();

    static constexpr runtime::duration decrease_interval =
        std::chrono::milliseconds(20);

private:
    const double slots_;
    double limit_;
    runtime::time_point decreased_at_;
};

} // namespace tamarackhoist::policy

#endif
