#ifndef TAMARACKHOIST_POLICY_WORK_QUEUE_HPP
#define TAMARACKHOIST_POLICY_WORK_QUEUE_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <tamarackhoist/policy/sub_request.hpp>
#include <unordered_map>
#include <vector>

namespace tamarackhoist::policy
{

/// Least urgent classes that may start a request now.
struct start_limits {
    /// Applies to requests that start in order of priority.
    class_index by_priority = 0;
    /// Applies to requests of a class that claims its guaranteed share.
    class_index by_share = 0;
};

/// Queue of the requests for one upstream, by priority class.
///
/// The most urgent class is served first, and within a class the request with
/// the earliest deadline. A class that received less than its guaranteed share
/// of the upstream's time, and whose first request has waited for a fixed
/// fraction of the class deadline, is served before more urgent classes until
/// it has received its share.
/// Not thread-safe.
class work_queue
{
public:
    /// Maximum number of queued requests of one class. The limit is per class,
    /// so that a flood of one class leaves room for the others.
    static constexpr std::size_t max_class_length = 512;

    /// Fraction of the class deadline that a request waits before its class
    /// may claim its guaranteed share.
    static constexpr double starvation_fraction = 0.1;

    explicit work_queue(std::span<const priority_class> classes);

    /// Replaces the priority classes. Queued requests of classes that no
    /// longer exist move to the least urgent class.
    void set_classes(std::span<const priority_class> classes);

    void push(sub_request request, runtime::time_point now);

    struct queued_request {
        sub_request request;
        runtime::time_point queued_at;
    };

    /// Removes and returns the request to start next, or nothing when no
    /// class that `limits` allows has one.
    [[nodiscard]] std::optional<queued_request>
    pop(runtime::time_point now, start_limits limits,
        runtime::duration expected_service_time);

    /// Removes and returns the request with this identifier, or nothing when
    /// it is not queued.
    [[nodiscard]] std::optional<queued_request> remove(request_id id);

    /// Removes and returns the requests that cannot finish by their deadline
    /// when they are started at `now`.
    [[nodiscard]] std::vector<queued_request>
    remove_expired(runtime::time_point now,
                   runtime::duration expected_service_time);

    /// Removes and returns all requests.
    [[nodiscard]] std::vector<queued_request> clear();

    /// Subtracts `amount` of slot time from the credit of a class. A negative
    /// amount corrects an estimate that was too high.
    void charge(class_index rank, runtime::duration amount);

    /// Adds to the credit of every class its guaranteed share of the time of
    /// `slots` slots since the last call.
    void accrue_credit(runtime::time_point now, std::uint32_t slots);

    /// Returns whether a class received no more than its guaranteed share.
    [[nodiscard]] bool is_within_share(class_index rank) const
    {
        return class_queues_[rank].credit > runtime::duration::zero();
    }

    [[nodiscard]] std::size_t size() const { return locations_.size(); }
    [[nodiscard]] bool empty() const { return locations_.empty(); }
    [[nodiscard]] std::size_t class_size(class_index rank) const;
    [[nodiscard]] std::size_t class_count() const
    {
        return class_queues_.size();
    }
    [[nodiscard]] const priority_class& description(class_index rank) const
    {
        return class_queues_[rank].description;
    }

    /// Returns the number of requests that would be served before a new one
    /// of class `rank`.
    [[nodiscard]] std::size_t count_ahead(class_index rank) const;

    /// Returns the earliest deadline of all queued requests, or nothing when
    /// the queue is empty.
    [[nodiscard]] std::optional<runtime::time_point> earliest_deadline() const;

private:
    struct queue_key {
        runtime::time_point deadline;
        request_id id;
        auto operator<=>(const queue_key&) const = default;
    };
    struct class_queue {
        priority_class description;
        std::map<queue_key, queued_request> requests;
        /// Slot time that the class may still claim; negative when it received
        /// more than its guaranteed share.
        runtime::duration credit{};
    };
    struct location {
        class_index rank;
        queue_key key;
    };

    [[nodiscard]] bool
    may_claim_share(const class_queue& queue, runtime::time_point now,
                    runtime::duration expected_service_time) const;
    [[nodiscard]] queued_request
    remove_entry(class_queue& queue,
                 std::map<queue_key, queued_request>::iterator entry);

    std::vector<class_queue> class_queues_;
    std::unordered_map<request_id, location> locations_;
    runtime::time_point last_accrual_at_;
    bool has_accrued_ = false;
};

} // namespace tamarackhoist::policy

#endif
