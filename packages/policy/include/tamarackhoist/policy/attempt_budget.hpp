#ifndef TAMARACKHOIST_POLICY_ATTEMPT_BUDGET_HPP
#define TAMARACKHOIST_POLICY_ATTEMPT_BUDGET_HPP

#include <atomic>
#include <cstdint>

namespace tamarackhoist::policy
{

/// Token bucket that first attempts fill and extra attempts drain, so that
/// extra attempts stay a fixed fraction of first attempts. Thread-safe.
class attempt_budget
{
public:
    /// Allows `fraction` extra attempts for each first attempt, from 0 to 1,
    /// and holds at most `capacity` unspent ones. Starts empty.
    attempt_budget(double fraction, std::uint32_t capacity);

    /// Adds the allowance of one first attempt.
    void deposit();

    /// Withdraws one extra attempt; returns false when none is left.
    [[nodiscard]] bool try_withdraw();

    /// Returns an extra attempt that reached no upstream to the budget.
    void refund();

private:
    void add_micro_tokens(std::int64_t amount);

    const std::int64_t micro_tokens_per_deposit_;
    const std::int64_t micro_token_capacity_;
    std::atomic<std::int64_t> micro_tokens_{0};
};

} // namespace tamarackhoist::policy

#endif
