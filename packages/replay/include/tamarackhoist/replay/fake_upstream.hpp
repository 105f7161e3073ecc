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

/// An upstream in virtual time: slots, a backlog that sheds when it is full,
/// random service times, a cold start, cancellation and faults.
class fake_upstream
{
public:
    using report_hook = std::function<void(policy::upstream_report)>;

    fake_upstream(policy::upstream description, runtime::duration mean_service,
                  policy::key grid_step, std::uint64_t seed,
                  runtime::virtual_scheduler& scheduler,
                  invariant_checker& ledger);

    /// Takes a request of caller request `number`. The hook is called once,
    /// unless the reply is lost.
    void serve(std::size_t number, policy::sub_request request,
               report_hook report);

    /// Drops a request that was taken; a running one gives its slot back.
    void abort(policy::request_id id);

    void set_slowness(double factor) { slowness_ = factor; }
    void set_down(bool is_down);
    void set_hanging(bool is_hanging) { is_hanging_ = is_hanging; }
    void set_losing_replies(bool is_losing) { is_losing_replies_ = is_losing; }
    void set_draining(bool is_draining);
    void set_version(policy::index_version version) { version_ = version; }
    void add_range(policy::key_range range) { held_.add(range); }
    void remove_range(policy::key_range range);

    [[nodiscard]] bool is_down() const { return is_down_; }

    /// Returns what the health endpoint says.
    [[nodiscard]] policy::upstream_report health() const
    {
        return make_report();
    }
    [[nodiscard]] const policy::upstream& description() const
    {
        return description_;
    }

    /// Records connections that a node opened or closed.
    void change_connections(std::int32_t change);

private:
    struct job {
        std::size_t number;
        policy::sub_request request;
        report_hook report;
    };

    void start_next();
    void finish(const job& done);
    [[nodiscard]] policy::upstream_report make_report() const;

    const policy::upstream description_;
    const runtime::duration mean_service_;
    const policy::key grid_step_;
    std::mt19937_64 random_;
    runtime::virtual_scheduler& scheduler_;
    invariant_checker& ledger_;
    policy::key_range_set held_;
    std::deque<job> backlog_;
    std::map<policy::request_id, report_hook> running_;
    std::uint32_t open_connections_ = 0;
    double slowness_ = 1;
    policy::index_version version_ = 1;
    bool is_down_ = false;
    bool is_hanging_ = false;
    bool is_losing_replies_ = false;
    bool is_draining_ = false;
    runtime::time_point draining_since_;
    std::uint32_t cold_requests_ = 0;
    /// Changes when the process behind the upstream is replaced.
    std::uint64_t incarnation_ = 0;
};

} // namespace tamarackhoist::replay

#endif
