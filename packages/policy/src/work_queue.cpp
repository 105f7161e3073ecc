#include <tamarackhoist/policy/work_queue.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarackhoist::policy
{

namespace
{

/// Unused credit is kept for at most this time's worth of the share.
constexpr runtime::duration max_credit_time = std::chrono::seconds(1);
/// Limit of negative credit. It is short because service beyond the share
/// often uses idle capacity, which takes nothing from other classes.
constexpr runtime::duration max_debt = std::chrono::milliseconds(20);

runtime::duration scale(runtime::duration value, double factor)
{
    return runtime::from_seconds(runtime::to_seconds(value) * factor);
}

} // namespace

work_queue::work_queue(std::span<const priority_class> classes)
{
    assert(!classes.empty());
    for (const auto& description : classes) {
        class_queues_.push_back({description, {}, {}});
    }
}

void work_queue::set_classes(std::span<const priority_class> classes)
{
    auto requests = clear();
    class_queues_.resize(classes.size());
    for (std::size_t rank = 0; rank < classes.size(); ++rank) {
        class_queues_[rank].description = classes[rank];
    }
    for (auto& entry : requests) {
        push(std::move(entry.request), entry.queued_at);
    }
}

void work_queue::push(sub_request request, runtime::time_point now)
{
    request.rank = std::min(request.rank, class_queues_.size() - 1);
    const queue_key key{request.deadline, request.id};
    const auto rank = request.rank;
    locations_[request.id] = {rank, key};
    class_queues_[rank].requests.emplace(
        key, queued_request{std::move(request), now});
}

bool work_queue::may_claim_share(const class_queue& queue,
                                 runtime::time_point now,
                                 runtime::duration expected_service_time) const
{
    if (queue.requests.empty() || queue.credit < expected_service_time) {
        return false;
    }
    const auto& oldest = queue.requests.begin()->second;
    return now - oldest.queued_at >=
           scale(queue.description.deadline, starvation_fraction);
}

std::optional<work_queue::queued_request>
work_queue::pop(runtime::time_point now, start_limits limits,
                runtime::duration expected_service_time)
{
    for (class_index rank = 0; rank < class_queues_.size(); ++rank) {
        auto& queue = class_queues_[rank];
        if (rank <= limits.by_share &&
            may_claim_share(queue, now, expected_service_time)) {
            return remove_entry(queue, queue.requests.begin());
        }
    }
    for (class_index rank = 0; rank < class_queues_.size(); ++rank) {
        if (rank > limits.by_priority) {
            break;
        }
        auto& queue = class_queues_[rank];
        if (queue.requests.empty()) {
            continue;
        }
        return remove_entry(queue, queue.requests.begin());
    }
    return std::nullopt;
}

work_queue::queued_request
work_queue::remove_entry(class_queue& queue,
                         std::map<queue_key, queued_request>::iterator entry)
{
    auto removed = std::move(entry->second);
    queue.requests.erase(entry);
    locations_.erase(removed.request.id);
    return removed;
}

std::optional<work_queue::queued_request> work_queue::remove(request_id id)
{
    const auto found = locations_.find(id);
    if (found == locations_.end()) {
        return std::nullopt;
    }
    auto& queue = class_queues_[found->second.rank];
    return remove_entry(queue, queue.requests.find(found->second.key));
}

std::vector<work_queue::queued_request>
work_queue::remove_expired(runtime::time_point now,
                           runtime::duration expected_service_time)
{
    std::vector<queued_request> expired;
    for (auto& queue : class_queues_) {
        while (!queue.requests.empty()) {
            const auto first = queue.requests.begin();
            if (first->first.deadline > now + expected_service_time) {
                break;
            }
            expired.push_back(remove_entry(queue, first));
        }
    }
    return expired;
}

std::vector<work_queue::queued_request> work_queue::clear()
{
    std::vector<queued_request> all;
    for (auto& queue : class_queues_) {
        while (!queue.requests.empty()) {
            all.push_back(remove_entry(queue, queue.requests.begin()));
        }
    }
    return all;
}

void work_queue::charge(class_index rank, runtime::duration amount)
{
    auto& queue = class_queues_[std::min(rank, class_queues_.size() - 1)];
    queue.credit = std::max(queue.credit - amount, -max_debt);
}

void work_queue::accrue_credit(runtime::time_point now, std::uint32_t slots)
{
    const auto elapsed =
        has_accrued_ ? now - last_accrual_at_ : runtime::duration{};
    last_accrual_at_ = now;
    has_accrued_ = true;
    for (auto& queue : class_queues_) {
        const auto share = queue.description.guaranteed_share * slots;
        queue.credit = std::min(queue.credit + scale(elapsed, share),
                                scale(max_credit_time, share));
    }
}

std::size_t work_queue::class_size(class_index rank) const
{
    return rank < class_queues_.size() ? class_queues_[rank].requests.size()
                                       : 0;
}

std::size_t work_queue::count_ahead(class_index rank) const
{
    std::size_t total = 0;
    const auto last = std::min(rank + 1, class_queues_.size());
    for (class_index more_urgent = 0; more_urgent < last; ++more_urgent) {
        total += class_queues_[more_urgent].requests.size();
    }
    return total;
}

std::optional<runtime::time_point> work_queue::earliest_deadline() const
{
    std::optional<runtime::time_point> earliest;
    for (const auto& queue : class_queues_) {
        if (queue.requests.empty()) {
            continue;
        }
        const auto deadline = queue.requests.begin()->first.deadline;
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

} // namespace tamarackhoist::policy
