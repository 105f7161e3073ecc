#include <tamarackhoist/replay/measures.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace tamarackhoist::replay
{

namespace
{

using request = invariant_checker::request;

/// Time for which a replay continues after the last arrival, so that every
/// request ends and every delayed message is delivered.
constexpr runtime::duration settle_time = std::chrono::seconds(30);
constexpr double p99_probability = 0.99;
constexpr runtime::duration recovery_check_interval =
    std::chrono::milliseconds(250);
constexpr double max_recovered_ratio = 1.1;

bool arrived_in(const request& each, const time_window& window)
{
    return each.arrived_at >= window.from && each.arrived_at < window.until;
}

bool is_answered_in_time(const request& each)
{
    if (!each.is_answered || each.answered_at > each.deadline) {
        return false;
    }
    if (each.is_order) {
        return each.order_status == policy::order_status::ran;
    }
    return each.query_status == policy::query_status::complete ||
           each.query_status == policy::query_status::partial;
}

/// Returns the value of an answer between 0 and 1: its coverage if the class
/// allows partial answers, otherwise 1 only for a complete answer.
double answer_value(const trace& recorded_trace, const request& each)
{
    if (!is_answered_in_time(each)) {
        return 0;
    }
    if (recorded_trace.classes[each.rank].allows_partial) {
        return each.coverage;
    }
    return each.query_status == policy::query_status::complete ? 1 : 0;
}

template <typename Action>
void for_each_query(const replay_result& result, const time_window& window,
                    Action action)
{
    for (const auto& each : result.checker.requests()) {
        if (!each.is_order && arrived_in(each, window)) {
            action(each);
        }
    }
}

double p99_latency(const replay_result& result, policy::class_index rank,
                   const time_window& window)
{
    std::vector<double> latencies;
    for_each_query(result, window, [&](const request& each) {
        if (each.rank != rank) {
            return;
        }
        // A request without an answer in time counts as taking until its
        // deadline.
        const auto end =
            is_answered_in_time(each) ? each.answered_at : each.deadline;
        latencies.push_back(runtime::to_milliseconds(end - each.arrived_at));
    });
    if (latencies.empty()) {
        return 0;
    }
    const auto position = static_cast<std::ptrdiff_t>(
        p99_probability * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + position);
    return latencies[static_cast<std::size_t>(position)];
}

double answers_per_second(const trace& recorded_trace,
                          const replay_result& result,
                          std::optional<policy::class_index> rank,
                          const time_window& window)
{
    double answered = 0;
    for_each_query(result, window, [&](const request& each) {
        const bool is_matching = !rank || each.rank == *rank;
        answered += is_matching ? answer_value(recorded_trace, each) : 0;
    });
    return answered / runtime::to_seconds(window.until - window.from);
}

double ratio(double value, double reference)
{
    return reference == 0 ? 0 : value / reference;
}

using measure_function = std::function<double(
    const trace&, const replay_result&, const expected_outcome&)>;

double p99_ratio(const trace&, const replay_result& result,
                 const expected_outcome& expected)
{
    return ratio(p99_latency(result, expected.rank, expected.window),
                 p99_latency(result, expected.rank, expected.reference_window));
}

double p99_milliseconds(const trace&, const replay_result& result,
                        const expected_outcome& expected)
{
    return p99_latency(result, expected.rank, expected.window);
}

double goodput_ratio(const trace& recorded_trace, const replay_result& result,
                     const expected_outcome& expected)
{
    return ratio(answers_per_second(recorded_trace, result, expected.rank,
                                    expected.window),
                 answers_per_second(recorded_trace, result, expected.rank,
                                    expected.reference_window));
}

double refused_or_late(const trace& recorded_trace, const replay_result& result,
                       const expected_outcome& expected)
{
    double count = 0;
    for_each_query(result, expected.window, [&](const request& each) {
        const bool is_matching = each.rank == expected.rank;
        count += is_matching && answer_value(recorded_trace, each) == 0 ? 1 : 0;
    });
    return count;
}

double share_kept(const trace& recorded_trace, const replay_result& result,
                  const expected_outcome& expected)
{
    const auto share = recorded_trace.classes[expected.rank].guaranteed_share;
    return ratio(answers_per_second(recorded_trace, result, expected.rank,
                                    expected.window),
                 share * recorded_trace.capacity());
}

double goodput(const trace& recorded_trace, const replay_result& result,
               const expected_outcome& expected)
{
    return ratio(answers_per_second(recorded_trace, result, std::nullopt,
                                    expected.window),
                 recorded_trace.capacity());
}

double extra_load(const trace&, const replay_result& result,
                  const expected_outcome&)
{
    const auto repeated =
        static_cast<double>(result.checker.repeated_executions());
    return ratio(repeated,
                 static_cast<double>(result.checker.executions()) - repeated);
}

double mean_coverage(const trace&, const replay_result& result,
                     const expected_outcome& expected)
{
    double total = 0;
    double count = 0;
    for_each_query(result, expected.window, [&](const request& each) {
        // A request that was refused as not run has no coverage.
        const bool is_refused =
            each.is_answered &&
            each.query_status == policy::query_status::not_run;
        if (each.rank != expected.rank || is_refused) {
            return;
        }
        total += is_answered_in_time(each) ? each.coverage : 0;
        count += 1;
    });
    return ratio(total, count);
}

double refused_fraction(const trace&, const replay_result& result,
                        const expected_outcome& expected)
{
    double refused = 0;
    double count = 0;
    for_each_query(result, expected.window, [&](const request& each) {
        if (each.rank != expected.rank) {
            return;
        }
        count += 1;
        refused += each.is_answered &&
                           each.query_status == policy::query_status::not_run
                       ? 1
                       : 0;
    });
    return ratio(refused, count);
}

double unknown_rate(const trace&, const replay_result& result,
                    const expected_outcome&)
{
    double unknown = 0;
    double count = 0;
    for (const auto& each : result.checker.requests()) {
        if (!each.is_order) {
            continue;
        }
        count += 1;
        unknown += each.order_status == policy::order_status::unknown ? 1 : 0;
    }
    return ratio(unknown, count);
}

double recovery_seconds(const trace&, const replay_result& result,
                        const expected_outcome& expected)
{
    const auto normal_latency =
        p99_latency(result, expected.rank, expected.reference_window);
    // Finds the first time from which the 99th percentile up to the end of the
    // window is back to normal. A fixed shorter window would hold too few
    // requests for a 99th percentile.
    auto remaining_window = expected.window;
    while (remaining_window.from < remaining_window.until &&
           p99_latency(result, expected.rank, remaining_window) >
               normal_latency * max_recovered_ratio) {
        remaining_window.from += recovery_check_interval;
    }
    return runtime::to_seconds(remaining_window.from - expected.window.from);
}

double decisions_per_request(const trace&, const replay_result& result,
                             const expected_outcome&)
{
    return ratio(static_cast<double>(result.decisions),
                 static_cast<double>(result.checker.executions()));
}

measure_function
violation_count(std::uint64_t invariant_checker::violations::*member)
{
    return [member](const trace&, const replay_result& result,
                    const expected_outcome&) {
        return static_cast<double>(result.violations.*member);
    };
}

const std::map<std::string, measure_function>& measures()
{
    using violations = invariant_checker::violations;
    static const std::map<std::string, measure_function> all{
        {"p99_ratio", p99_ratio},
        {"p99_ms", p99_milliseconds},
        {"kept", goodput_ratio},
        {"refused_or_late", refused_or_late},
        {"share_kept", share_kept},
        {"goodput", goodput},
        {"extra_load", extra_load},
        {"coverage", mean_coverage},
        {"refused_fraction", refused_fraction},
        {"unknown_rate", unknown_rate},
        {"recovery_seconds", recovery_seconds},
        {"decisions_per_request", decisions_per_request},
        {"mixed_versions", violation_count(&violations::mixed_versions)},
        {"coverage_wrong", violation_count(&violations::coverage_wrong)},
        {"foreign_items", violation_count(&violations::foreign_items)},
        {"refused_but_run", violation_count(&violations::refused_but_run)},
        {"doubled", violation_count(&violations::doubled)},
        {"drain_late_work", violation_count(&violations::drain_late_work)},
        {"connections_over_limit",
         violation_count(&violations::connections_over_limit)},
    };
    return all;
}

} // namespace

replay_result run_trace(const trace& recorded_trace, policy_kind kind)
{
    simulated_fleet fleet(recorded_trace.shape, recorded_trace.classes, kind);
    fleet.schedule(recorded_trace);
    fleet.run_until(recorded_trace.arrivals_end() + settle_time);
    auto violations = fleet.checker().find_violations();
    return {fleet.checker(), violations, fleet.decisions()};
}

std::vector<std::string> measure_names()
{
    std::vector<std::string> names;
    for (const auto& [name, function] : measures()) {
        names.push_back(name);
    }
    return names;
}

std::optional<double> measure(const trace& recorded_trace,
                              const replay_result& result,
                              const expected_outcome& expected)
{
    const auto found = measures().find(expected.measure);
    if (found == measures().end()) {
        return std::nullopt;
    }
    return found->second(recorded_trace, result, expected);
}

runtime::result<std::vector<measured_outcome>, std::string>
evaluate(const trace& recorded_trace)
{
    for (const auto& expected : recorded_trace.outcomes) {
        if (!measures().contains(expected.measure)) {
            return "outcome \"" + expected.name + "\": measure \"" +
                   expected.measure + "\" does not exist";
        }
    }
    const auto product = run_trace(recorded_trace, policy_kind::product);
    const auto baseline = run_trace(recorded_trace, policy_kind::baseline);
    std::vector<measured_outcome> measured;
    for (const auto& expected : recorded_trace.outcomes) {
        measured_outcome each;
        each.expected = expected;
        each.value = *measure(recorded_trace, product, expected);
        each.baseline = *measure(recorded_trace, baseline, expected);
        each.holds = expected.is_report_only ||
                     (expected.is_upper_bound ? each.value <= expected.bound
                                              : each.value >= expected.bound);
        measured.push_back(std::move(each));
    }
    return measured;
}

} // namespace tamarackhoist::replay
