#ifndef TAMARACKHOIST_POLICY_UPSTREAM_HEALTH_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_HEALTH_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// What the traffic of this node tells about one upstream. Health endpoints
/// lag or mislead, so only answers, errors and silence count.
class upstream_health
{
public:
    /// An answer after `latency`, where `typical` is the usual latency of
    /// that kind of request.
    void record_success(runtime::duration latency, runtime::duration typical,
                        runtime::time_point now);

    /// No answer yet after `elapsed`; the attempt was given up.
    void record_slow(runtime::duration elapsed, runtime::duration typical,
                     runtime::time_point now);

    /// An error, a reset or bytes that are no answer.
    void record_failure(runtime::time_point now);

    /// The upstream refused the request without executing it.
    void record_refusal(runtime::time_point now);

    /// Latency relative to other upstreams; 1 is typical. Recovers with time,
    /// so that an avoided upstream is tried again.
    [[nodiscard]] double slowness(runtime::time_point now) const;

    /// Part of the recent requests that were refused or failed, from 0 to 1.
    /// Falls with time, so that an avoided upstream is tried again.
    [[nodiscard]] double failure_rate(runtime::time_point now) const;

    /// Whether requests should go elsewhere if there is an alternative.
    [[nodiscard]] bool is_suspect(runtime::time_point now) const
    {
        return now < suspect_until_;
    }

private:
    void add_sample(double ratio, runtime::time_point now);
    void add_outcome(bool is_failure, runtime::time_point now);

    double slowness_ = 1.0;
    runtime::time_point sampled_at_{};
    double failure_rate_ = 0.0;
    runtime::time_point outcome_at_{};
    std::uint32_t failures_in_row_ = 0;
    runtime::time_point suspect_until_{};
};

} // namespace tamarackhoist::policy

#endif
