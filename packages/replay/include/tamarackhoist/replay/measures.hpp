#ifndef TAMARACKHOIST_REPLAY_MEASURES_HPP
#define TAMARACKHOIST_REPLAY_MEASURES_HPP

#include <string>
#include <tamarackhoist/replay/invariant_checker.hpp>
#include <tamarackhoist/replay/simulated_fleet.hpp>
#include <tamarackhoist/replay/trace.hpp>
#include <vector>

namespace tamarackhoist::replay
{

/// Everything that is measured of one replay.
struct replay_result {
    invariant_checker ledger;
    invariant_checker::violations violations;
    std::uint64_t decisions = 0;
};

/// Replays a trace under one policy.
[[nodiscard]] replay_result run_trace(const trace& wanted, policy_kind kind);

/// Value of one stated outcome, with the baseline's beside it.
struct measured_outcome {
    outcome stated;
    double value = 0;
    double baseline = 0;
    bool holds = true;
};

/// Returns the names of the measures that outcomes may state.
[[nodiscard]] std::vector<std::string> measure_names();

/// Computes one measure; nothing for an unknown one.
[[nodiscard]] std::optional<double> measure(const trace& replayed,
                                            const replay_result& result,
                                            const outcome& stated);

/// Replays a trace under both policies and measures every stated outcome.
[[nodiscard]] runtime::result<std::vector<measured_outcome>, std::string>
evaluate(const trace& wanted);

} // namespace tamarackhoist::replay

#endif
