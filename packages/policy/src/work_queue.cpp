#include <tamarackhoist/policy/work_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Time over which an unused share is remembered.
constexpr runtime::duration credit_window = std::chrono::seconds(1);
/// Longest time owed for service beyond the share. Service of idle capacity
/// takes nothing from others, so that it is soon forgotten.
constexpr runtime::duration max_debt = std::chrono::milliseconds(20);

runtime::duration scaled(runtime::duration value, double factor)
{
    return runtime::from_seconds(runtime::to_seconds(value) * factor);
}

} // namespace

work_queue::work_queue(std::span<const priority_class> classes)
{
    assert(!classes.empty());
    for (const auto& each : classes) {
        lanes_.push_back({each, {}, {}});
    }
}

void work_queue::set_classes(std::span<const priority_class> classes)
{
    auto requests = clear();
    lanes_.resize(classes.size());
    for (std::size_t rank = 0; rank < classes.size(); ++rank) {
        lanes_[rank].description = classes[rank];
    }
    for (auto& each : requests) {
        push(std::move(each.request), each.queued_at);
    }
}

void work_queue::push(sub_request request, runtime::time_point now)
{
    request.rank = std::min(request.rank, lanes_.size() - 1);
    const order_key key{request.deadline, request.id};
    const auto rank = request.rank;
    positions_[request.id] = {rank, key};
    lanes_[rank].requests.emplace(key, waiting{std::move(request), now});
}

bool work_queue::claims_share(const lane& each, runtime::time_point now,
                              runtime::duration expected_service) const
{
    if (each.requests.empty() || each.credit < expected_service) {
        return false;
    }
    const auto& oldest = each.requests.begin()->second;
    return now - oldest.queued_at >=
           scaled(each.description.deadline, starvation_fraction);
}

std::optional<work_queue::waiting>
work_queue::pop(runtime::time_point now, start_limits limits,
                runtime::duration expected_service)
{
    for (class_index rank = 0; rank < lanes_.size(); ++rank) {
        auto& each = lanes_[rank];
        if (rank <= limits.by_share &&
            claims_share(each, now, expected_service)) {
            return take(each, each.requests.begin());
        }
    }
    for (class_index rank = 0; rank < lanes_.size(); ++rank) {
        if (rank > limits.in_turn) {
            break;
        }
        auto& each = lanes_[rank];
        if (each.requests.empty()) {
            continue;
        }
        return take(each, each.requests.begin());
    }
    return std::nullopt;
}

work_queue::waiting
work_queue::take(lane& from, std::map<order_key, waiting>::iterator entry)
{
    auto taken = std::move(entry->second);
    from.requests.erase(entry);
    positions_.erase(taken.request.id);
    return taken;
}

std::optional<work_queue::waiting> work_queue::remove(request_id id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end()) {
        return std::nullopt;
    }
    auto& from = lanes_[found->second.rank];
    return take(from, from.requests.find(found->second.key));
}

std::vector<work_queue::waiting>
work_queue::remove_expired(runtime::time_point now,
                           runtime::duration expected_service)
{
    std::vector<waiting> expired;
    for (auto& each : lanes_) {
        while (!each.requests.empty()) {
            const auto first = each.requests.begin();
            if (first->first.deadline > now + expected_service) {
                break;
            }
            expired.push_back(take(each, first));
        }
    }
    return expired;
}

std::vector<work_queue::waiting> work_queue::clear()
{
    std::vector<waiting> all;
    for (auto& each : lanes_) {
        while (!each.requests.empty()) {
            all.push_back(take(each, each.requests.begin()));
        }
    }
    return all;
}

void work_queue::charge(class_index rank, runtime::duration amount)
{
    auto& each = lanes_[std::min(rank, lanes_.size() - 1)];
    each.credit = std::max(each.credit - amount, -max_debt);
}

void work_queue::accrue(runtime::time_point now, std::uint32_t slots)
{
    const auto elapsed = has_accrued_ ? now - accrued_at_ : runtime::duration{};
    accrued_at_ = now;
    has_accrued_ = true;
    for (auto& each : lanes_) {
        const auto share = each.description.guaranteed_share * slots;
        each.credit = std::min(each.credit + scaled(elapsed, share),
                               scaled(credit_window, share));
    }
}

std::size_t work_queue::size_of(class_index rank) const
{
    return rank < lanes_.size() ? lanes_[rank].requests.size() : 0;
}

std::size_t work_queue::length_ahead(class_index rank) const
{
    std::size_t total = 0;
    const auto last = std::min(rank + 1, lanes_.size());
    for (class_index each = 0; each < last; ++each) {
        total += lanes_[each].requests.size();
    }
    return total;
}

std::optional<runtime::time_point> work_queue::earliest_deadline() const
{
    std::optional<runtime::time_point> earliest;
    for (const auto& each : lanes_) {
        if (each.requests.empty()) {
            continue;
        }
        const auto deadline = each.requests.begin()->first.deadline;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

} // namespace tamarackhoist::policy
