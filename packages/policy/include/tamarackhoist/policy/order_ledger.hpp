#ifndef TAMARACKHOIST_POLICY_ORDER_LEDGER_HPP
#define TAMARACKHOIST_POLICY_ORDER_LEDGER_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <tamarackhoist/policy/order_ticket.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <utility>
#include <vector>

namespace tamarackhoist::policy
{

enum class order_status {
    /// The upstream ran the request; `body` is its reply.
    ran,
    /// No upstream ran the request.
    not_run,
    /// Whether an upstream ran the request cannot be known here.
    unknown
};

/// Returns the name of `status` as shown to callers.
[[nodiscard]] const char* to_string(order_status status);

struct order_outcome {
    order_status status = order_status::unknown;
    /// Reason of a refusal or of an unknown outcome.
    std::string reason;
    std::string body;
};

/// Unexpired tickets that this node incarnation issued, with their outcomes.
///
/// Guarantees that a request runs at most once: a ticket that is not in the
/// ledger never runs. Thread-safe.
class order_ledger
{
public:
    /// Time after which an issued ticket expires.
    static constexpr runtime::duration lifetime = std::chrono::minutes(10);
    /// Maximum number of unexpired tickets.
    static constexpr std::size_t max_tickets = 200'000;

    /// Receives the outcome of a ticket.
    using waiter = std::function<void(const order_outcome&)>;

    order_ledger(node_id self, std::uint64_t incarnation, std::uint64_t seed);

    /// Issues a ticket for one request to `service`, or returns nothing when
    /// `max_tickets` tickets have not expired yet.
    [[nodiscard]] std::optional<order_ticket> issue(std::string service,
                                                    runtime::time_point now);

    enum class claim_result {
        /// The caller of `claim` must run the request and then call `settle`.
        run,
        /// The request is running already; the waiter receives its outcome.
        attached,
        /// The waiter was called: the outcome is known, or the ticket is
        /// unknown or belongs to another service.
        answered
    };

    /// Claims the right to run the request of `ticket`.
    [[nodiscard]] claim_result claim(const order_ticket& ticket,
                                     const std::string& service,
                                     runtime::time_point now,
                                     waiter on_outcome);

    /// Records the outcome of a claimed ticket and calls its waiters. It is
    /// final, also when it is `not_run`: an earlier attempt with the same
    /// ticket may still be in transit and must not run after a refusal was
    /// reported. Only an `unknown` outcome may be replaced, by a late reply.
    void settle(const order_ticket& ticket, const order_outcome& outcome);

    /// Returns the number of tickets in the ledger.
    [[nodiscard]] std::size_t size() const;

private:
    enum class entry_state { issued, running, settled };
    struct entry {
        std::string service;
        entry_state state = entry_state::issued;
        order_outcome outcome;
        std::vector<waiter> waiters;
    };

    void expire(runtime::time_point now);

    const node_id self_;
    const std::uint64_t incarnation_;
    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::map<order_ticket, entry> entries_;
    std::deque<std::pair<runtime::time_point, order_ticket>> expiries_;
};

} // namespace tamarackhoist::policy

#endif
