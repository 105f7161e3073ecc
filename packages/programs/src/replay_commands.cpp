#include "command.hpp"
#include "command_output.hpp"

#include <boost/json.hpp>
#include <iostream>
#include <sstream>
#include <tamarackhoist/replay/measures.hpp>

namespace tamarackhoist::programs
{

namespace json = boost::json;

namespace
{

std::string format_number(double value)
{
    constexpr int significant_digits = 6;
    std::ostringstream text;
    text.precision(significant_digits);
    text << value;
    return text.str();
}

/// Returns the bound with its direction; "report" when the outcome has none.
std::string format_bound(const replay::expected_outcome& outcome)
{
    if (outcome.is_report_only) {
        return "report";
    }
    return (outcome.is_upper_bound ? "<=" : ">=") +
           format_number(outcome.bound);
}

void print_outcomes(const std::vector<replay::measured_outcome>& outcomes)
{
    std::vector<table_row> rows{
        {"NAME", "MEASURE", "VALUE", "BASELINE", "BOUND", "VERDICT"}};
    for (const auto& outcome : outcomes) {
        rows.push_back(
            {outcome.expected.name, outcome.expected.measure,
             format_number(outcome.value), format_number(outcome.baseline),
             format_bound(outcome.expected), outcome.holds ? "pass" : "fail"});
    }
    print_table(rows);
}

void print_outcomes_json(const std::vector<replay::measured_outcome>& outcomes)
{
    json::array entries;
    for (const auto& outcome : outcomes) {
        entries.push_back({{"name", outcome.expected.name},
                           {"measure", outcome.expected.measure},
                           {"value", outcome.value},
                           {"baseline", outcome.baseline},
                           {"bound", format_bound(outcome.expected)},
                           {"holds", outcome.holds}});
    }
    std::cout << json::serialize(entries) << '\n';
}

} // namespace

int replay_trace(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1) {
        std::cerr << "usage: tamarackhoist replay TRACE [--json]\n";
        return exit_usage_error;
    }
    const auto text = read_file(operands.front());
    if (!text) {
        return exit_usage_error;
    }
    const auto trace = replay::parse_trace(*text);
    if (!trace) {
        std::cerr << operands.front() << ": " << trace.error() << '\n';
        return exit_usage_error;
    }
    const auto outcomes = replay::evaluate(trace.value());
    if (!outcomes) {
        std::cerr << operands.front() << ": " << outcomes.error() << '\n';
        return exit_usage_error;
    }
    if (options.json_output) {
        print_outcomes_json(outcomes.value());
    } else {
        print_outcomes(outcomes.value());
    }
    for (const auto& outcome : outcomes.value()) {
        if (!outcome.holds) {
            return exit_failure;
        }
    }
    return exit_success;
}

} // namespace tamarackhoist::programs
