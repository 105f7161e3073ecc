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

/// Result of one dispatched request.
enum class upstream_outcome {
    /// The upstream ran the request and replied.
    answered,
    /// The upstream does not serve the requested index version.
    version_unavailable,
    /// The upstream refused the request without running it.
    shed,
    /// The connection failed before any byte was written.
    not_connected,
    /// After bytes were written, the connection failed or the reply was
    /// invalid.
    broken,
    /// The reply did not arrive in time, or the request was aborted.
    abandoned
};

/// Reply of an upstream to a request or a health check.
struct upstream_report {
    upstream_outcome outcome = upstream_outcome::broken;
    index_version version = 0;
    version_span versions;
    /// Keys that the reply covers.
    key_range_set covered;
    std::vector<result_item> items;
    bool is_draining = false;
};

/// Returns whether enough time is left before the deadline to write a
/// dispatched request. Checked right before the write, because the process may
/// have been paused after the dispatch.
[[nodiscard]] bool has_time_to_send(const sub_request& request,
                                    runtime::time_point now);

/// Queues, dispatches and refuses the requests for one upstream that this
/// node owns. Does no I/O; not thread-safe.
class upstream_owner
{
public:
    struct hooks {
        /// Sends a request to the upstream.
        std::function<void(const sub_request&)> dispatch;
        /// Stops waiting for a dispatched request and cancels it at the
        /// upstream.
        std::function<void(request_id)> abort;
        /// Sends a reply to the entry node.
        std::function<void(sub_reply)> reply;
        /// Returns whether this process may start work. It may not right
        /// after a pause, because during the pause the upstream may have
        /// started to drain or got another owner.
        std::function<bool(runtime::time_point)> may_start;
    };

    upstream_owner(upstream description,
                   std::span<const priority_class> classes, hooks actions);

    /// Dispatches, queues or refuses one request.
    void submit(sub_request request, runtime::time_point now);

    /// Handles the result of a dispatched request: replies to its entry node
    /// and starts queued requests.
    void finish(request_id id, upstream_report report, runtime::time_point now);

    /// Cancels a request. A queued one is answered as not run, and a
    /// dispatched idempotent one as failed; its reply is no longer awaited.
    /// A dispatched non-idempotent one continues.
    void cancel(request_id id, runtime::time_point now);

    /// Refuses queued requests that cannot finish by their deadline, cancels
    /// running ones past their deadline and starts queued ones.
    void advance(runtime::time_point now);

    /// Returns the time at which `advance` is to be called next, or nothing
    /// when no request is queued or running.
    [[nodiscard]] std::optional<runtime::time_point> next_wakeup() const;

    /// Starts or ends a drain. Queued requests are refused at once, so that
    /// their entry nodes can ask another replica.
    void set_draining(bool is_draining, runtime::time_point now);

    /// Starts or ends a drain that the VM list announced. Replies of the
    /// upstream do not end it.
    void set_listed_leaving(bool is_leaving, runtime::time_point now);

    /// Refuses every queued request, as when the node leaves or no longer
    /// owns the upstream.
    void refuse_queued(refusal reason, runtime::time_point now);

    /// Replaces the priority classes.
    void set_classes(std::span<const priority_class> classes);

    /// Records an answer of the health endpoint, which may also be an error.
    ///
    /// No request is started while the last reply or health report is older
    /// than `max_state_age`: an owner that has just taken over, or that lost
    /// its connections, cannot tell whether the upstream drains. After a
    /// take-over requests wait for at most `max_health_wait` and are then
    /// refused; later on they are refused at once.
    void on_health(const upstream_report& report, runtime::time_point now);

    /// Returns the load to publish to entry nodes for requests of this class.
    [[nodiscard]] upstream_load load(class_index rank) const;
    [[nodiscard]] const upstream& description() const { return description_; }
    [[nodiscard]] std::size_t in_flight() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    /// Returns the number of requests that may run at the same time.
    [[nodiscard]] std::uint32_t limit() const { return limit_.allowed(); }
    [[nodiscard]] bool is_draining() const
    {
        return is_draining_ || is_listed_leaving_;
    }
    [[nodiscard]] bool is_idle() const
    {
        return running_.empty() && queue_.empty();
    }

    /// Maximum age of the known upstream state at which requests are started.
    /// Shorter than the 2 s after which a leaving upstream gets no new work.
    static constexpr runtime::duration max_state_age =
        std::chrono::milliseconds(1900);
    /// Time that requests wait for the first health report after a take-over.
    static constexpr runtime::duration max_health_wait =
        std::chrono::milliseconds(200);

    /// Consecutive failures after which an upstream is reported as suspect.
    static constexpr std::uint32_t suspect_failures = 3;

private:
    struct running {
        sub_request request;
        runtime::time_point started_at;
        /// Time spent in the queue.
        runtime::duration waited{};
        /// Expected service time that was charged to the class at the start.
        runtime::duration charged_time{};
        bool is_abandoned = false;
    };

    /// Rate at which the requests of one class are started.
    struct start_rate {
        runtime::time_point last_start_at;
        /// Moving average of the time between starts while requests are
        /// queued.
        runtime::duration mean_interval{};
    };

    void record_start(const work_queue::queued_request& next,
                      runtime::time_point now);
    void send_reply(const sub_request& request, sub_reply reply);
    void refuse(const sub_request& request, refusal reason,
                runtime::duration waited);
    void start(work_queue::queued_request next, runtime::time_point now);
    void process_queue(runtime::time_point now);
    void record_result(const running& done, const upstream_report& report,
                       runtime::time_point now);
    [[nodiscard]] bool has_current_state(runtime::time_point now) const;
    [[nodiscard]] start_limits
    current_start_limits(runtime::time_point now) const;
    [[nodiscard]] runtime::duration expected_service_time() const;
    [[nodiscard]] runtime::duration
    expected_queue_delay(class_index rank) const;

    const upstream description_;
    const hooks actions_;
    work_queue queue_;
    concurrency_limit limit_;
    latency_window median_service_time_;
    runtime::duration mean_service_time_{};
    std::vector<start_rate> start_rates_;
    std::unordered_map<request_id, running> running_;
    std::size_t running_urgent_count_ = 0;
    std::optional<runtime::time_point> last_urgent_at_;
    version_span versions_;
    std::uint32_t consecutive_failures_ = 0;
    std::optional<runtime::time_point> queue_nonempty_since_;
    std::optional<runtime::time_point> state_known_at_;
    bool was_state_known_ = false;
    bool is_draining_ = false;
    bool is_listed_leaving_ = false;
};

} // namespace tamarackhoist::policy

#endif
