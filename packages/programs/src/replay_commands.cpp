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

std::string format(double value)
{
    constexpr int digits = 6;
    std::ostringstream text;
    text.precision(digits);
    text << value;
    return text.str();
}

std::string format_bound(const replay::expected_outcome& expected)
{
    if (expected.is_report_only) {
        return "report";
    }
    return (expected.is_upper_bound ? "<=" : ">=") + format(expected.bound);
}

void print_outcomes(const std::vector<replay::measured_outcome>& measured)
{
    std::vector<table_row> rows{
        {"NAME", "MEASURE", "VALUE", "BASELINE", "BOUND", "VERDICT"}};
    for (const auto& each : measured) {
        rows.push_back({each.expected.name, each.expected.measure,
                        format(each.value), format(each.baseline),
                        format_bound(each.expected),
                        each.holds ? "pass" : "fail"});
    }
    print_table(rows);
}

void print_json(const std::vector<replay::measured_outcome>& measured)
{
    json::array lines;
    for (const auto& each : measured) {
        lines.push_back({{"name", each.expected.name},
                         {"measure", each.expected.measure},
                         {"value", each.value},
                         {"baseline", each.baseline},
                         {"bound", format_bound(each.expected)},
                         {"holds", each.holds}});
    }
    std::cout << json::serialize(lines) << '\n';
}

} // namespace

int replay_trace(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1) {
        std::cerr << "usage: tamarackhoist replay TRACE [--json]\n";
        return exit_wrong_use;
    }
    const auto text = read_file(operands.front());
    if (!text) {
        return exit_wrong_use;
    }
    const auto trace = replay::parse_trace(*text);
    if (!trace) {
        std::cerr << operands.front() << ": " << trace.error() << '\n';
        return exit_wrong_use;
    }
    const auto measured = replay::evaluate(trace.value());
    if (!measured) {
        std::cerr << operands.front() << ": " << measured.error() << '\n';
        return exit_wrong_use;
    }
    if (options.wants_json) {
        print_json(measured.value());
    } else {
        print_outcomes(measured.value());
    }
    for (const auto& each : measured.value()) {
        if (!each.holds) {
            return exit_falls_short;
        }
    }
    return exit_good;
}

} // namespace tamarackhoist::programs
