#ifndef TAMARACKHOIST_REPLAY_FAKE_UPSTREAM_HPP
#define TAMARACKHOIST_REPLAY_FAKE_UPSTREAM_HPP

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <tamarackhoist/policy/sub_request.hpp>
#include <tamarackhoist/policy/upstream_owner.hpp>
#include <tamarackhoist/replay/invariant_checker.hpp>
#include <tamarackhoist/runtime/virtual_scheduler.hpp>

namespace tamarackhoist::replay
{

/// A simulated upstream in virtual time. It has a fixed number of slots, a
/// backlog that sheds requests when it is full, random service times, slow
/// requests after a restart, cancellation and injected faults.
class fake_upstream
{
public:
    using report_hook = std::function<void(policy::upstream_report)>;

    fake_upstream(policy::upstream description, runtime::duration mean_service,
                  policy::key grid_step, std::uint64_t seed,
                  runtime::virtual_scheduler& scheduler,
                  invariant_checker& checker);

    /// Queues a sub-request that belongs to caller request `request_number`.
    /// `report` is called at most once: never for an aborted request or while
    /// the upstream hangs.
    void serve(std::size_t request_number, policy::sub_request request,
               report_hook report);

    /// Discards a queued or running request; a running one frees its slot.
    void abort(policy::request_id id);

    void set_slowdown_factor(double factor) { slowdown_factor_ = factor; }
    void set_down(bool is_down);
    void set_hanging(bool is_hanging) { is_hanging_ = is_hanging; }
    void set_losing_replies(bool is_losing) { is_losing_replies_ = is_losing; }
    void set_draining(bool is_draining);
    void set_version(policy::index_version version) { version_ = version; }
    void add_range(policy::key_range range) { stored_ranges_.add(range); }
    void remove_range(policy::key_range range);

    [[nodiscard]] bool is_down() const { return is_down_; }

    /// Returns the report of the health endpoint.
    [[nodiscard]] policy::upstream_report health() const
    {
        return make_report();
    }
    [[nodiscard]] const policy::upstream& description() const
    {
        return description_;
    }

    /// Adds `change` to the number of open connections, which is negative when
    /// a node closes connections.
    void change_connections(std::int32_t change);

private:
    struct job {
        std::size_t request_number;
        policy::sub_request request;
        report_hook report;
    };

    void start_next();
    void finish(const job& finished);
    [[nodiscard]] policy::upstream_report make_report() const;

    const policy::upstream description_;
    const runtime::duration mean_service_;
    const policy::key grid_step_;
    std::mt19937_64 random_;
    runtime::virtual_scheduler& scheduler_;
    invariant_checker& checker_;
    policy::key_range_set stored_ranges_;
    std::deque<job> backlog_;
    std::map<policy::request_id, report_hook> running_;
    std::uint32_t open_connections_ = 0;
    double slowdown_factor_ = 1;
    policy::index_version version_ = 1;
    bool is_down_ = false;
    bool is_hanging_ = false;
    bool is_losing_replies_ = false;
    bool is_draining_ = false;
    runtime::time_point draining_since_;
    std::uint32_t cold_requests_ = 0;
    /// Incremented when the upstream goes down, so that completions of requests
    /// from before are ignored.
    std::uint64_t incarnation_ = 0;
};

} // namespace tamarackhoist::replay

#endif
