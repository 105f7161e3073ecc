#ifndef TAMARACKHOIST_POLICY_UPSTREAM_HEALTH_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_HEALTH_HPP

#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Health of one upstream, derived from the requests of this node. Health
/// endpoints may be late or wrong, so only answers, errors and timeouts are
/// used.
class upstream_health
{
public:
    /// Records an answer after `latency`. `typical` is the usual latency of
    /// that kind of request, or zero when it is unknown.
    void record_success(runtime::duration latency, runtime::duration typical,
                        runtime::time_point now);

    /// Records an attempt that was abandoned without an answer after
    /// `elapsed`.
    void record_slow(runtime::duration elapsed, runtime::duration typical,
                     runtime::time_point now);

    /// Records an error, a connection reset or an invalid answer.
    void record_failure(runtime::time_point now);

    /// Records that the upstream refused a request without executing it.
    void record_refusal(runtime::time_point now);

    /// Returns the smoothed ratio of the latency to the typical latency; 1 is
    /// typical. Approaches 1 without new samples, so that an avoided upstream
    /// is tried again.
    [[nodiscard]] double slowness(runtime::time_point now) const;

    /// Returns the fraction of recent requests that were refused or failed,
    /// from 0 to 1. Decays without new requests, so that an avoided upstream
    /// is tried again.
    [[nodiscard]] double failure_rate(runtime::time_point now) const;

    /// Returns whether other upstreams should be preferred if there are any.
    [[nodiscard]] bool is_suspect(runtime::time_point now) const
    {
        return now < suspect_until_;
    }

private:
    void add_sample(double latency_ratio, runtime::time_point now);
    void add_outcome(bool is_failure, runtime::time_point now);

    double slowness_ = 1.0;
    runtime::time_point last_sample_at_{};
    double failure_rate_ = 0.0;
    runtime::time_point last_outcome_at_{};
    std::uint32_t consecutive_failures_ = 0;
    runtime::time_point suspect_until_{};
};

} // namespace tamarackhoist::policy

#endif
