#ifndef TAMARACKHOIST_POLICY_ATTEMPT_BUDGET_HPP
#define TAMARACKHOIST_POLICY_ATTEMPT_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace tamarackhoist::policy
{

/// Token bucket that is filled by first attempts and spent by extra ones, so
/// that extra load stays a fixed fraction of first load. Thread-safe.
class attempt_budget
{
public:
    /// Allows `fraction` extra attempts for each first attempt and saves at
    /// most `capacity` unspent ones.
    attempt_budget(double fraction, std::uint32_t capacity);

    /// Records one first attempt.
    void deposit();

    /// Takes one extra attempt; returns false when none is left.
    [[nodiscard]] bool try_withdraw();

    /// Gives back an extra attempt that reached no upstream.
    void give_back();

private:
    void add(std::int64_t amount);

    const std::int64_t deposit_;
    const std::int64_t capacity_;
    std::atomic<std::int64_t> micro_tokens_{0};
};

} // namespace tamarackhoist::policy

#endif
