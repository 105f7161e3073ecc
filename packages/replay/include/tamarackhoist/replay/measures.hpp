#ifndef TAMARACKHOIST_REPLAY_MEASURES_HPP
#define TAMARACKHOIST_REPLAY_MEASURES_HPP

#include <string>
#include <tamarackhoist/replay/invariant_checker.hpp>
#include <tamarackhoist/replay/simulated_fleet.hpp>
#include <tamarackhoist/replay/trace.hpp>
#include <vector>

namespace tamarackhoist::replay
{

/// Data that one replay of a trace produces.
struct replay_result {
    invariant_checker checker;
    invariant_checker::violations violations;
    /// Number of calls into the policy.
    std::uint64_t decisions = 0;
};

/// Replays a trace under one policy, in virtual time.
[[nodiscard]] replay_result run_trace(const trace& recorded_trace,
                                      policy_kind kind);

/// Measured values of one expected outcome, for the product's policy and for
/// the baseline.
struct measured_outcome {
    expected_outcome expected;
    double value = 0;
    double baseline = 0;
    /// Whether `value` is within the expected bound.
    bool holds = true;
};

/// Returns the names of the measures that an expected outcome may use.
[[nodiscard]] std::vector<std::string> measure_names();

/// Computes the measure of `expected`, or returns no value if no measure has
/// that name.
[[nodiscard]] std::optional<double> measure(const trace& recorded_trace,
                                            const replay_result& result,
                                            const expected_outcome& expected);

/// Replays a trace under both policies and measures every expected outcome. The
/// error names a measure that does not exist.
[[nodiscard]] runtime::result<std::vector<measured_outcome>, std::string>
evaluate(const trace& recorded_trace);

} // namespace tamarackhoist::replay

#endif
