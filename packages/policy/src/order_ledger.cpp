#include <tamarackhoist/policy/order_ledger.hpp>

#include <cassert>

namespace tamarackhoist::policy
{

const char* to_string(order_status status)
{
    switch (status) {
    case order_status::ran:
        return "ran";
    case order_status::not_run:
        return "not_run";
    case order_status::unknown:
        return "unknown";
    }
    return "unknown";
}

order_ledger::order_ledger(node_id self, std::uint64_t incarnation,
                           std::uint64_t seed)
    : self_(self), incarnation_(incarnation), random_(seed)
{
}

std::optional<order_ticket> order_ledger::issue(std::string service,
                                                runtime::time_point now)
{
    const std::lock_guard guard(mutex_);
    expire(now);
    if (entries_.size() >= max_tickets) {
        return std::nullopt;
    }
    const order_ticket ticket{self_, incarnation_, random_(), random_()};
    entries_[ticket].service = std::move(service);
    expiries_.emplace_back(now + lifetime, ticket);
    return ticket;
}

order_ledger::claim_result order_ledger::claim(const order_ticket& ticket,
                                               const std::string& service,
                                               runtime::time_point now,
                                               waiter on_outcome)
{
    order_outcome outcome;
    {
        const std::lock_guard guard(mutex_);
        expire(now);
        const auto found = entries_.find(ticket);
        if (found == entries_.end()) {
            // The ticket expired or was issued by an earlier incarnation of
            // this node, so it is not known whether the request ran.
            outcome = {order_status::unknown, "ticket is not remembered", {}};
        } else if (found->second.service != service) {
            outcome = {order_status::not_run,
                       "ticket was issued for service \"" +
                           found->second.service + "\"",
                       {}};
        } else if (found->second.state == entry_state::issued) {
            found->second.state = entry_state::running;
            found->second.waiters.push_back(std::move(on_outcome));
            return claim_result::run;
        } else if (found->second.state == entry_state::running) {
            found->second.waiters.push_back(std::move(on_outcome));
            return claim_result::attached;
        } else {
            outcome = found->second.outcome;
        }
    }
    on_outcome(outcome);
    return claim_result::answered;
}

void order_ledger::settle(const order_ticket& ticket,
                          const order_outcome& outcome)
{
    std::vector<waiter> waiters;
    {
        const std::lock_guard guard(mutex_);
        const auto found = entries_.find(ticket);
        if (found == entries_.end()) {
            return;
        }
        auto& record = found->second;
        const bool is_final = record.state == entry_state::settled &&
                              record.outcome.status != order_status::unknown;
        if (is_final) {
            return;
        }
        record.outcome = outcome;
        record.state = entry_state::settled;
        waiters.swap(record.waiters);
    }
    for (const auto& notify : waiters) {
        notify(outcome);
    }
}

std::size_t order_ledger::size() const
{
    const std::lock_guard guard(mutex_);
    return entries_.size();
}

void order_ledger::expire(runtime::time_point now)
{
    while (!expiries_.empty() && expiries_.front().first <= now) {
        entries_.erase(expiries_.front().second);
        expiries_.pop_front();
    }
}

} // namespace tamarackhoist::policy
