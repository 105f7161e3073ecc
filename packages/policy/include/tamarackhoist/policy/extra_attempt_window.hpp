#ifndef TAMARACKHOIST_POLICY_EXTRA_ATTEMPT_WINDOW_HPP
#define TAMARACKHOIST_POLICY_EXTRA_ATTEMPT_WINDOW_HPP

#include <array>
#include <cstdint>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Bounds of the extra attempts that a service may get in any window.
struct extra_attempt_limits {
    /// Extra attempts allowed for each request.
    double ratio = 0.0;
    /// This node's share of the extra attempts allowed besides.
    double allowance = 0.0;
    runtime::duration window = std::chrono::seconds(10);
};

/// Counts the requests and extra attempts of one service in a sliding window.
/// Each node keeps within the bounds for its own requests, so that the fleet
/// does without exchanging counts. The allowance grows over the first window,
/// since the process before this one may have spent it.
class extra_attempt_window
{
public:
    extra_attempt_window(extra_attempt_limits limits,
                         runtime::time_point started_at);

    void record_request(runtime::time_point now);

    /// Takes one extra attempt; false when the window has none left.
    [[nodiscard]] bool try_take(runtime::time_point now);

    /// Gives back an extra attempt that reached no upstream.
    void give_back(runtime::time_point now);

    /// Changes this node's share of the extra attempts allowed besides.
    void set_allowance(double allowance) { limits_.allowance = allowance; }

    /// Extra attempts that may still be made now.
    [[nodiscard]] double left(runtime::time_point now);

private:
    /// Buckets of a window; one more is kept, so that the counted extra
    /// attempts span the whole window at least.
    static constexpr std::size_t buckets_in_window = 10;
    static constexpr std::size_t bucket_count = buckets_in_window + 1;

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    void advance(runtime::time_point now);

    extra_attempt_limits limits_;
    const runtime::time_point started_at_;
    const runtime::duration bucket_length_;
    std::array<bucket, bucket_count> buckets_{};
    std::int64_t current_ = 0;
    std::uint32_t requests_ = 0;
    std::uint32_t extras_ = 0;
};

} // namespace tamarackhoist::policy

#endif
