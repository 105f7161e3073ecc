#include <tamarackhoist/policy/forward_times.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

/// Time reserved for merging and writing an answer.
constexpr runtime::duration answer_margin = std::chrono::milliseconds(3);
/// One-way network trips in a caller's latency: the request and the answer,
/// and two more for the handshake of a new connection.
constexpr int trips_on_kept_connection = 2;
constexpr int trips_on_new_connection = 4;

} // namespace

forward_times compute_forward_times(const route& route,
                                    const caller_timing& caller)
{
    const auto trips = caller.is_first_on_connection ? trips_on_new_connection
                                                     : trips_on_kept_connection;
    auto allowed = route.timeout;
    if (caller.time_left) {
        const auto time_left =
            *caller.time_left - caller.delay * trips_on_kept_connection;
        allowed = std::min(allowed, runtime::non_negative(time_left));
    }
    return {.started = caller.received,
            .on_time_until = caller.received + route.latency_target -
                             caller.delay * trips - answer_margin,
            .deadline = caller.received + allowed};
}

} // namespace tamarackhoist::policy
