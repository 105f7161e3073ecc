#include <tamarackhoist/replay/fake_upstream.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::replay
{

using policy::upstream_outcome;

namespace
{

constexpr std::size_t max_backlog_length = 32;
/// Shape of the gamma distribution of service times: a standard deviation of
/// half the mean.
constexpr double service_time_shape = 4;
/// Number of requests that are slow after a restart, and by which factor.
constexpr std::uint32_t max_cold_requests = 10;
constexpr double cold_factor = 5;
/// Time after the start of a drain during which new requests may still arrive.
constexpr runtime::duration drain_grace = std::chrono::seconds(2);

} // namespace

fake_upstream::fake_upstream(policy::upstream description,
                             runtime::duration mean_service,
                             policy::key grid_step, std::uint64_t seed,
                             runtime::virtual_scheduler& scheduler,
                             invariant_checker& checker)
    : description_(std::move(description)), mean_service_(mean_service),
      grid_step_(grid_step), random_(seed), scheduler_(scheduler),
      checker_(checker)
{
}

policy::upstream_report fake_upstream::make_report() const
{
    policy::upstream_report report;
    report.versions = {version_, version_};
    report.version = version_;
    report.is_draining = is_draining_;
    return report;
}

void fake_upstream::serve(std::size_t request_number,
                          policy::sub_request request, report_hook report)
{
    if (is_draining_ && scheduler_.now() - draining_since_ > drain_grace) {
        checker_.record_late_drain_work();
    }
    if (backlog_.size() >= max_backlog_length) {
        auto shed = make_report();
        shed.outcome = upstream_outcome::shed;
        report(std::move(shed));
        return;
    }
    backlog_.push_back({request_number, std::move(request), std::move(report)});
    start_next();
}

void fake_upstream::start_next()
{
    while (running_.size() < description_.slots && !backlog_.empty()) {
        auto next = std::move(backlog_.front());
        backlog_.pop_front();
        // A request for an index version that is not served is not run.
        const bool is_served =
            next.request.version == 0 || next.request.version == version_;
        if (!is_served) {
            auto refused = make_report();
            refused.outcome = upstream_outcome::version_unavailable;
            next.report(std::move(refused));
            continue;
        }
        checker_.record_execution(next.request_number,
                                  next.request.range.begin);
        running_.emplace(next.request.id, next.report);
        if (is_hanging_) {
            continue;
        }
        std::gamma_distribution<> distribution(service_time_shape,
                                               1 / service_time_shape);
        auto factor = slowdown_factor_ * distribution(random_);
        if (cold_requests_ > 0) {
            --cold_requests_;
            factor *= cold_factor;
        }
        const auto service =
            runtime::from_seconds(runtime::to_seconds(mean_service_) * factor);
        scheduler_.after(service, [this, incarnation = incarnation_,
                                   finished = std::move(next)] {
            const bool is_current = incarnation == incarnation_ &&
                                    running_.erase(finished.request.id) > 0;
            if (!is_current) {
                return;
            }
            finish(finished);
            start_next();
        });
    }
}

void fake_upstream::finish(const job& finished)
{
    auto report = make_report();
    const bool is_served =
        finished.request.version == 0 || finished.request.version == version_;
    if (!is_served) {
        report.outcome = upstream_outcome::version_unavailable;
        finished.report(std::move(report));
        return;
    }
    if (is_losing_replies_) {
        report.outcome = upstream_outcome::broken;
        finished.report(std::move(report));
        return;
    }
    report.outcome = upstream_outcome::answered;
    if (!finished.request.is_idempotent) {
        report.covered.add(finished.request.range);
        report.items.push_back({finished.request.range.begin, "confirmed"});
        finished.report(std::move(report));
        return;
    }
    report.covered = stored_ranges_.intersection(finished.request.range);
    const auto value =
        invariant_checker::item_value(finished.request_number, version_);
    for (const auto& range : report.covered.ranges()) {
        const auto first =
            (range.begin + grid_step_ - 1) / grid_step_ * grid_step_;
        for (auto key = first; key < range.end; key += grid_step_) {
            report.items.push_back({key, value});
        }
    }
    finished.report(std::move(report));
}

void fake_upstream::abort(policy::request_id id)
{
    std::erase_if(backlog_,
                  [&](const job& each) { return each.request.id == id; });
    if (running_.erase(id) > 0) {
        start_next();
    }
}

void fake_upstream::set_down(bool is_down)
{
    if (is_down == is_down_) {
        return;
    }
    is_down_ = is_down;
    if (!is_down_) {
        cold_requests_ = max_cold_requests;
        return;
    }
    // All connections break: every queued or running request fails.
    ++incarnation_;
    auto running = std::exchange(running_, {});
    auto backlog = std::exchange(backlog_, {});
    for (const auto& [id, report] : running) {
        report({});
    }
    for (const auto& each : backlog) {
        each.report({});
    }
}

void fake_upstream::set_draining(bool is_draining)
{
    is_draining_ = is_draining;
    draining_since_ = scheduler_.now();
}

void fake_upstream::remove_range(policy::key_range range)
{
    stored_ranges_ =
        stored_ranges_.difference(policy::key_range_set(std::span(&range, 1)));
}

void fake_upstream::change_connections(std::int32_t change)
{
    open_connections_ += static_cast<std::uint32_t>(change);
    checker_.record_connection_count(open_connections_,
                                     description_.connections);
}

} // namespace tamarackhoist::replay
