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

/// Time after the last arrival for which a replay goes on, so that every
/// request ends and every held message arrives.
constexpr runtime::duration settle_time = std::chrono::seconds(30);
constexpr double tail_probability = 0.99;
constexpr runtime::duration recovery_step = std::chrono::milliseconds(250);
constexpr double recovered_ratio = 1.1;

bool is_in(const request& each, const time_window& window)
{
    return each.arrived_at >= window.from && each.arrived_at < window.until;
}

bool is_answered_in_time(const request& each)
{
    if (!each.is_answered || each.answered_at > each.deadline) {
        return false;
    }
    if (each.is_order) {
        return each.told == policy::order_status::ran;
    }
    return each.status == policy::query_status::complete ||
           each.status == policy::query_status::partial;
}

/// Worth of an answer: its coverage where the class takes partial answers,
/// and otherwise only a whole one.
double worth_of(const trace& replayed, const request& each)
{
    if (!is_answered_in_time(each)) {
        return 0;
    }
    if (replayed.classes[each.rank].allows_partial) {
        return each.coverage;
    }
    return each.status == policy::query_status::complete ? 1 : 0;
}

template <typename Action>
void for_each_query(const replay_result& result, const time_window& window,
                    Action action)
{
    for (const auto& each : result.ledger.requests()) {
        if (!each.is_order && is_in(each, window)) {
            action(each);
        }
    }
}

double tail_latency(const replay_result& result, policy::class_index rank,
                    const time_window& window)
{
    std::vector<double> latencies;
    for_each_query(result, window, [&](const request& each) {
        if (each.rank != rank) {
            return;
        }
        // A request without an answer counts with its deadline.
        const auto end =
            is_answered_in_time(each) ? each.answered_at : each.deadline;
        latencies.push_back(runtime::to_milliseconds(end - each.arrived_at));
    });
    if (latencies.empty()) {
        return 0;
    }
    const auto position = static_cast<std::ptrdiff_t>(
        tail_probability * static_cast<double>(latencies.size() - 1));
    std::ranges::nth_element(latencies, latencies.begin() + position);
    return latencies[static_cast<std::size_t>(position)];
}

double answers_per_second(const trace& replayed, const replay_result& result,
                          std::optional<policy::class_index> rank,
                          const time_window& window)
{
    double answered = 0;
    for_each_query(result, window, [&](const request& each) {
        const bool is_wanted = !rank || each.rank == *rank;
        answered += is_wanted ? worth_of(replayed, each) : 0;
    });
    return answered / runtime::to_seconds(window.until - window.from);
}

double ratio(double value, double over)
{
    return over == 0 ? 0 : value / over;
}

using measure_function =
    std::function<double(const trace&, const replay_result&, const outcome&)>;

double p99_ratio(const trace&, const replay_result& result,
                 const outcome& stated)
{
    return ratio(tail_latency(result, stated.rank, stated.window),
                 tail_latency(result, stated.rank, stated.over));
}

double p99_milliseconds(const trace&, const replay_result& result,
                        const outcome& stated)
{
    return tail_latency(result, stated.rank, stated.window);
}

double kept(const trace& replayed, const replay_result& result,
            const outcome& stated)
{
    return ratio(
        answers_per_second(replayed, result, stated.rank, stated.window),
        answers_per_second(replayed, result, stated.rank, stated.over));
}

double refused_or_late(const trace& replayed, const replay_result& result,
                       const outcome& stated)
{
    double count = 0;
    for_each_query(result, stated.window, [&](const request& each) {
        const bool is_wanted = each.rank == stated.rank;
        count += is_wanted && worth_of(replayed, each) == 0 ? 1 : 0;
    });
    return count;
}

double share_kept(const trace& replayed, const replay_result& result,
                  const outcome& stated)
{
    const auto share = replayed.classes[stated.rank].guaranteed_share;
    return ratio(
        answers_per_second(replayed, result, stated.rank, stated.window),
        share * replayed.capacity());
}

double goodput(const trace& replayed, const replay_result& result,
               const outcome& stated)
{
    return ratio(
        answers_per_second(replayed, result, std::nullopt, stated.window),
        replayed.capacity());
}

double extra_load(const trace&, const replay_result& result, const outcome&)
{
    const auto again = static_cast<double>(result.ledger.received_again());
    return ratio(again, static_cast<double>(result.ledger.received()) - again);
}

double mean_coverage(const trace&, const replay_result& result,
                     const outcome& stated)
{
    double total = 0;
    double count = 0;
    for_each_query(result, stated.window, [&](const request& each) {
        // A request that was refused as not run has no answer to cover.
        const bool is_refused =
            each.is_answered && each.status == policy::query_status::not_run;
        if (each.rank != stated.rank || is_refused) {
            return;
        }
        total += is_answered_in_time(each) ? each.coverage : 0;
        count += 1;
    });
    return ratio(total, count);
}

double refused_fraction(const trace&, const replay_result& result,
                        const outcome& stated)
{
    double refused = 0;
    double count = 0;
    for_each_query(result, stated.window, [&](const request& each) {
        if (each.rank != stated.rank) {
            return;
        }
        count += 1;
        refused +=
            each.is_answered && each.status == policy::query_status::not_run
                ? 1
                : 0;
    });
    return ratio(refused, count);
}

double unknown_rate(const trace&, const replay_result& result, const outcome&)
{
    double unknown = 0;
    double count = 0;
    for (const auto& each : result.ledger.requests()) {
        if (!each.is_order) {
            continue;
        }
        count += 1;
        unknown += each.told == policy::order_status::unknown ? 1 : 0;
    }
    return ratio(unknown, count);
}

double recovery_seconds(const trace&, const replay_result& result,
                        const outcome& stated)
{
    const auto normal = tail_latency(result, stated.rank, stated.over);
    // The first time from which on, to the end of the window, the tail is
    // back. Shorter windows hold too few requests for a 99th percentile.
    auto rest = stated.window;
    while (rest.from < rest.until &&
           tail_latency(result, stated.rank, rest) > normal * recovered_ratio) {
        rest.from += recovery_step;
    }
    return runtime::to_seconds(rest.from - stated.window.from);
}

double decisions_per_request(const trace&, const replay_result& result,
                             const outcome&)
{
    return ratio(static_cast<double>(result.decisions),
                 static_cast<double>(result.ledger.received()));
}

measure_function count_of(std::uint64_t invariant_checker::violations::*member)
{
    return [member](const trace&, const replay_result& result, const outcome&) {
        return static_cast<double>(result.violations.*member);
    };
}

const std::map<std::string, measure_function>& measures()
{
    using violations = invariant_checker::violations;
    static const std::map<std::string, measure_function> all{
        {"p99_ratio", p99_ratio},
        {"p99_ms", p99_milliseconds},
        {"kept", kept},
        {"refused_or_late", refused_or_late},
        {"share_kept", share_kept},
        {"goodput", goodput},
        {"extra_load", extra_load},
        {"coverage", mean_coverage},
        {"refused_fraction", refused_fraction},
        {"unknown_rate", unknown_rate},
        {"recovery_seconds", recovery_seconds},
        {"decisions_per_request", decisions_per_request},
        {"mixed_versions", count_of(&violations::mixed_versions)},
        {"coverage_wrong", count_of(&violations::coverage_wrong)},
        {"foreign_items", count_of(&violations::foreign_items)},
        {"refused_but_run", count_of(&violations::refused_but_run)},
        {"doubled", count_of(&violations::doubled)},
        {"drain_late_work", count_of(&violations::drain_late_work)},
        {"connections_over_limit",
         count_of(&violations::connections_over_limit)},
    };
    return all;
}

} // namespace

replay_result run_trace(const trace& wanted, policy_kind kind)
{
    simulated_fleet fleet(wanted.shape, wanted.classes, kind);
    fleet.schedule(wanted);
    fleet.run_until(wanted.end() + settle_time);
    auto violations = fleet.ledger().check();
    return {fleet.ledger(), violations, fleet.decisions()};
}

std::vector<std::string> measure_names()
{
    std::vector<std::string> names;
    for (const auto& [name, function] : measures()) {
        names.push_back(name);
    }
    return names;
}

std::optional<double> measure(const trace& replayed,
                              const replay_result& result,
                              const outcome& stated)
{
    const auto found = measures().find(stated.measure);
    if (found == measures().end()) {
        return std::nullopt;
    }
    return found->second(replayed, result, stated);
}

runtime::result<std::vector<measured_outcome>, std::string>
evaluate(const trace& wanted)
{
    for (const auto& stated : wanted.outcomes) {
        if (!measures().contains(stated.measure)) {
            return "measure \"" + stated.measure + "\" does not exist";
        }
    }
    const auto product = run_trace(wanted, policy_kind::product);
    const auto baseline = run_trace(wanted, policy_kind::baseline);
    std::vector<measured_outcome> measured;
    for (const auto& stated : wanted.outcomes) {
        measured_outcome each;
        each.stated = stated;
        each.value = *measure(wanted, product, stated);
        each.baseline = *measure(wanted, baseline, stated);
        each.holds = stated.is_report ||
                     (stated.is_upper_bound ? each.value <= stated.bound
                                            : each.value >= stated.bound);
        measured.push_back(std::move(each));
    }
    return measured;
}

} // namespace tamarackhoist::replay
