#include <tamarackhoist/policy/attempt_budget.hpp>

#include <algorithm>
#include <cassert>

namespace tamarackhoist::policy
{

namespace
{

constexpr std::int64_t micro_tokens_per_attempt = 1'000'000;

} // namespace

attempt_budget::attempt_budget(double fraction, std::uint32_t capacity)
    : micro_tokens_per_deposit_(
          static_cast<std::int64_t>(fraction * micro_tokens_per_attempt)),
      micro_token_capacity_(capacity * micro_tokens_per_attempt)
{
    assert(fraction >= 0 && fraction <= 1);
}

void attempt_budget::deposit()
{
    add_micro_tokens(micro_tokens_per_deposit_);
}

void attempt_budget::refund()
{
    add_micro_tokens(micro_tokens_per_attempt);
}

void attempt_budget::add_micro_tokens(std::int64_t amount)
{
    auto current = micro_tokens_.load(std::memory_order_relaxed);
    while (!micro_tokens_.compare_exchange_weak(
        current, std::min(current + amount, micro_token_capacity_),
        std::memory_order_relaxed)) {
    }
}

bool attempt_budget::try_withdraw()
{
    auto current = micro_tokens_.load(std::memory_order_relaxed);
    while (current >= micro_tokens_per_attempt) {
        if (micro_tokens_.compare_exchange_weak(
                current, current - micro_tokens_per_attempt,
                std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace tamarackhoist::policy
