#ifndef TAMARACKHOIST_POLICY_UPSTREAM_OWNER_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_OWNER_HPP

#include <functional>
#include <optional>
#include <span>
#include <tamarackhoist/policy/concurrency_limit.hpp>
#include <tamarackhoist/policy/latency_window.hpp>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/policy/work_queue.hpp>
#include <unordered_map>

namespace tamarackhoist::policy
{

/// How one dispatched request ended.
enum class upstream_outcome {
    answered,
    version_unavailable,
    shed,
    /// The connection failed before any byte was written.
    not_connected,
    /// The connection failed or the reply was unusable after a write.
    broken,
    /// The reply did not arrive in time, or the request was aborted.
    abandoned
};

struct upstream_report {
    upstream_outcome outcome = upstream_outcome::broken;
    index_version version = 0;
    version_span versions;
    key_range_set covered;
    std::vector<result_item> items;
    bool is_draining = false;
};

/// Returns whether a dispatched request may still be written. Looked at
/// right before the write, since the process may have been paused since.
[[nodiscard]] bool is_worth_sending(const sub_request& request,
                                    runtime::time_point now);

/// Decides, for one upstream that this node owns, what is sent to it and
/// when. Free of I/O; not thread-safe.
class upstream_owner
{
public:
    struct hooks {
        /// Sends a request to the upstream.
        std::function<void(const sub_request&)> dispatch;
        /// Stops waiting for a dispatched request and tells the upstream.
        std::function<void(request_id)> abort;
        /// Answers the entry node.
        std::function<void(sub_reply)> reply;
        /// Returns whether this process trusts its beliefs. It does not after
        /// a pause: the upstream may drain, or have another owner, since.
        std::function<bool(runtime::time_point)> may_start;
    };

    upstream_owner(upstream description,
                   std::span<const priority_class> classes, hooks actions);

    /// Takes one request: dispatches, queues or refuses it.
    void submit(sub_request request, runtime::time_point now);

    /// Reports the end of a dispatched request.
    void finish(request_id id, upstream_report report, runtime::time_point now);

    /// Cancels a request. A queued one is answered as not run, and a
    /// dispatched idempotent one as failed; its reply is no longer awaited.
    /// A dispatched non-idempotent one goes on.
    void cancel(request_id id, runtime::time_point now);

    /// Refuses expired requests, abandons overdue ones and starts others.
    void advance(runtime::time_point now);

    /// Returns when `advance` has work to do next.
    [[nodiscard]] std::optional<runtime::time_point> next_wakeup() const;

    /// Starts or ends a drain. Queued requests are refused at once, so that
    /// their entry nodes can ask another replica.
    void set_draining(bool is_draining, runtime::time_point now);

    /// Starts or ends a drain that the VM list announced. The upstream's own
    /// replies do not end it.
    void set_listed_leaving(bool is_leaving, runtime::time_point now);

    /// Refuses every queued request, for a node that leaves or that no
    /// longer owns the upstream.
    void refuse_queued(refusal reason, runtime::time_point now);

    void set_classes(std::span<const priority_class> classes);

    /// Records what the health endpoint said. Nothing is started while the
    /// last reply or health report is older than `state_validity`: an owner
    /// that has just taken over, or that lost its connections, does not know
    /// whether the upstream drains. Requests wait for `health_patience` and
    /// are refused then. Any answer of the endpoint counts, also an error.
    void on_health(const upstream_report& report, runtime::time_point now);

    [[nodiscard]] upstream_load load(class_index rank) const;
    [[nodiscard]] const upstream& description() const { return description_; }
    [[nodiscard]] std::size_t in_flight() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] std::uint32_t limit() const { return limit_.allowed(); }
    [[nodiscard]] bool is_draining() const
    {
        return is_draining_ || is_listed_leaving_;
    }
    [[nodiscard]] bool is_idle() const
    {
        return running_.empty() && queue_.empty();
    }

    /// Below the 2 s after which a leaving upstream gets no new work.
    static constexpr runtime::duration state_validity =
        std::chrono::milliseconds(1900);
    static constexpr runtime::duration health_patience =
        std::chrono::milliseconds(200);

    /// Consecutive failures after which an upstream is reported as suspect.
    static constexpr std::uint32_t suspect_failures = 3;

private:
    struct running {
        sub_request request;
        runtime::time_point started_at;
        runtime::duration waited{};
        runtime::duration charged{};
        bool is_abandoned = false;
    };

    /// How fast the requests of one class are started.
    struct class_pace {
        runtime::time_point started_at;
        /// Smoothed time from one start to the next while others wait.
        runtime::duration interval{};
    };

    void note_pace(const work_queue::waiting& next, runtime::time_point now);
    void answer(const sub_request& request, sub_reply reply);
    void refuse(const sub_request& request, refusal reason,
                runtime::duration waited);
    void start(work_queue::waiting next, runtime::time_point now);
    void pump(runtime::time_point now);
    void learn(const running& done, const upstream_report& report,
               runtime::time_point now);
    [[nodiscard]] bool knows_state(runtime::time_point now) const;
    [[nodiscard]] start_limits limits_at(runtime::time_point now) const;
    [[nodiscard]] runtime::duration expected_service() const;
    [[nodiscard]] runtime::duration expected_wait(class_index rank) const;

    const upstream description_;
    const hooks actions_;
    work_queue queue_;
    concurrency_limit limit_;
    latency_window service_median_;
    runtime::duration service_average_{};
    std::vector<class_pace> paces_;
    std::unordered_map<request_id, running> running_;
    std::size_t running_urgent_ = 0;
    std::optional<runtime::time_point> urgent_seen_at_;
    version_span versions_;
    std::uint32_t consecutive_failures_ = 0;
    std::optional<runtime::time_point> first_request_at_;
    std::optional<runtime::time_point> known_at_;
    bool was_known_ = false;
    bool is_draining_ = false;
    bool is_listed_leaving_ = false;
};

} // namespace tamarackhoist::policy

#endif
