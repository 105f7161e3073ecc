#ifndef TAMARACKHOIST_POLICY_EXTRA_ATTEMPT_WINDOW_HPP
#define TAMARACKHOIST_POLICY_EXTRA_ATTEMPT_WINDOW_HPP

#include <array>
#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Limits on the extra attempts (hedges and retries) that this node may make
/// for a service in any window.
struct extra_attempt_limits {
    /// Extra attempts allowed for each request.
    double ratio = 0.0;
    /// This node's share of the extra attempts that are allowed in each window
    /// regardless of the number of requests.
    double allowance = 0.0;
    runtime::duration window = std::chrono::seconds(10);
};

/// Returns one node's share of the extra attempts that the fleet may make in a
/// window regardless of its requests. `known_nodes` counts this node and all
/// that may be running: a node that seems dead may only be cut off, and spend
/// its own share. `spare_nodes` may join at any time.
[[nodiscard]] double allowance_share(double fleet_allowance,
                                     std::size_t known_nodes,
                                     std::size_t spare_nodes);

/// Counts the requests and extra attempts of one service in a sliding window.
/// Each node applies the limits to its own requests, so the fleet stays within
/// them without exchanging counts. The allowance grows linearly over the first
/// window, since the previous process of this node may have just spent it.
class extra_attempt_window
{
public:
    extra_attempt_window(extra_attempt_limits limits,
                         runtime::time_point started_at);

    void record_request(runtime::time_point now);

    /// Consumes one extra attempt. Returns false, and consumes nothing, if the
    /// window has none left.
    [[nodiscard]] bool try_acquire(runtime::time_point now);

    /// Returns an extra attempt that reached no upstream to the window. Does
    /// nothing if none was consumed in the current bucket.
    void refund(runtime::time_point now);

    /// Sets `extra_attempt_limits::allowance`.
    void set_allowance(double allowance) { limits_.allowance = allowance; }

    /// Returns how many extra attempts may be made now. May be fractional or
    /// negative.
    [[nodiscard]] double remaining(runtime::time_point now);

private:
    /// Number of buckets in a window. One more bucket is kept, so that the
    /// counted extra attempts always span at least a whole window.
    static constexpr std::size_t buckets_per_window = 10;
    static constexpr std::size_t bucket_count = buckets_per_window + 1;

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    void advance(runtime::time_point now);

    extra_attempt_limits limits_;
    const runtime::time_point started_at_;
    const runtime::duration bucket_length_;
    std::array<bucket, bucket_count> buckets_{};
    std::int64_t current_index_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t extra_attempts_ = 0;
};

} // namespace tamarackhoist::policy

#endif
