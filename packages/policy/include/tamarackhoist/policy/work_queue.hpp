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

/// The least urgent classes that may start a request now.
struct start_limits {
    /// For a class that is served in its turn.
    class_index in_turn = 0;
    /// For a class that claims its guaranteed share.
    class_index by_share = 0;
};

/// Requests that wait for one upstream, in classes.
///
/// The most urgent class is served first, and inside a class the earliest
/// deadline. A class that received less than its guaranteed share of the
/// upstream's time, and whose oldest request has waited a fixed part of its
/// deadline, is served before more urgent ones until the share is reached.
/// Not thread-safe.
class work_queue
{
public:
    /// Queued requests of one class beyond which new ones are refused. The
    /// bound is per class, so that a flood of one leaves room for the others.
    static constexpr std::size_t max_class_length = 512;

    /// Part of the class deadline that a request waits before its class may
    /// claim its guaranteed share.
    static constexpr double starvation_fraction = 0.1;

    explicit work_queue(std::span<const priority_class> classes);

    /// Replaces the priority classes. Queued requests of classes that no
    /// longer exist move to the least urgent class.
    void set_classes(std::span<const priority_class> classes);

    void push(sub_request request, runtime::time_point now);

    struct waiting {
        sub_request request;
        runtime::time_point queued_at;
    };

    /// Removes and returns the request to start next, or nothing when no
    /// class within `limits` has one.
    [[nodiscard]] std::optional<waiting>
    pop(runtime::time_point now, start_limits limits,
        runtime::duration expected_service);

    /// Removes the request with this identity, wherever it is queued.
    [[nodiscard]] std::optional<waiting> remove(request_id id);

    /// Removes and returns the requests that cannot finish by their deadline
    /// when they are started at `now`.
    [[nodiscard]] std::vector<waiting>
    remove_expired(runtime::time_point now, runtime::duration expected_service);

    /// Removes and returns everything.
    [[nodiscard]] std::vector<waiting> clear();

    /// Accounts `amount` of one slot's time to a class; negative amounts
    /// correct an earlier estimate.
    void charge(class_index rank, runtime::duration amount);

    /// Grants every class its guaranteed share of `slots` since the last
    /// call.
    void accrue(runtime::time_point now, std::uint32_t slots);

    /// Returns whether a class received no more than its guaranteed share.
    [[nodiscard]] bool is_within_share(class_index rank) const
    {
        return lanes_[rank].credit > runtime::duration::zero();
    }

    [[nodiscard]] std::size_t size() const { return positions_.size(); }
    [[nodiscard]] bool empty() const { return positions_.empty(); }
    [[nodiscard]] std::size_t size_of(class_index rank) const;
    [[nodiscard]] std::size_t class_count() const { return lanes_.size(); }
    [[nodiscard]] const priority_class& description(class_index rank) const
    {
        return lanes_[rank].description;
    }

    /// Returns the number of requests that would be served before a new one
    /// of class `rank`.
    [[nodiscard]] std::size_t length_ahead(class_index rank) const;

    /// Returns the deadline that expires next.
    [[nodiscard]] std::optional<runtime::time_point> earliest_deadline() const;

private:
    struct order_key {
        runtime::time_point deadline;
        request_id id;
        auto operator<=>(const order_key&) const = default;
    };
    struct lane {
        priority_class description;
        std::map<order_key, waiting> requests;
        /// Time of one slot owed to the class; negative when it received
        /// more than its share.
        runtime::duration credit{};
    };
    struct position {
        class_index rank;
        order_key key;
    };

    [[nodiscard]] bool claims_share(const lane& each, runtime::time_point now,
                                    runtime::duration expected_service) const;
    [[nodiscard]] waiting take(lane& from,
                               std::map<order_key, waiting>::iterator entry);

    std::vector<lane> lanes_;
    std::unordered_map<request_id, position> positions_;
    runtime::time_point accrued_at_;
    bool has_accrued_ = false;
};

} // namespace tamarackhoist::policy

#endif
