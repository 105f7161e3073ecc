#include "command.hpp"
#include "command_output.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <tamarackhoist/operators/request_story.hpp>

namespace tamarackhoist::programs
{

namespace json = boost::json;

namespace
{

/// Appends the lines of `text`, without line feeds, as views into it.
void append_lines(std::string_view text, std::vector<std::string_view>& lines)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

/// Returns the members as "NAME=VALUE" pairs separated by spaces.
std::string format_members(const operators::log_entry& entry)
{
    std::string text;
    for (const auto& [name, value] : entry.members) {
        text.append(text.empty() ? "" : " ").append(name);
        text.append("=").append(value);
    }
    return text;
}

void print_entries(const std::vector<operators::log_entry>& entries)
{
    std::vector<table_row> rows{{"TIME", "NODE", "EVENT", "NAME", "DETAIL"}};
    for (const auto& entry : entries) {
        rows.push_back({entry.time, entry.node,
                        "E" + std::to_string(static_cast<int>(entry.event)),
                        entry.name, format_members(entry)});
    }
    print_table(rows);
}

json::array to_json(const std::vector<operators::log_entry>& entries)
{
    json::array array;
    for (const auto& entry : entries) {
        json::object members;
        for (const auto& [name, value] : entry.members) {
            members[name] = value;
        }
        array.push_back(json::object{{"time", entry.time},
                                     {"node", entry.node},
                                     {"event", static_cast<int>(entry.event)},
                                     {"name", entry.name},
                                     {"members", std::move(members)}});
    }
    return array;
}

void print_explanation(const operators::request_story& explanation)
{
    print_entries(explanation.steps);
    if (!explanation.circumstances.empty()) {
        std::cout << "\nwhat these nodes learned meanwhile:\n";
        print_entries(explanation.circumstances);
    }
    std::cout << '\n';
    for (const auto& conclusion : explanation.conclusions) {
        std::cout << conclusion << '\n';
    }
}

void print_explanation_json(const operators::request_story& explanation)
{
    json::array conclusions(explanation.conclusions.begin(),
                            explanation.conclusions.end());
    std::cout << json::serialize(json::object{
                     {"steps", to_json(explanation.steps)},
                     {"circumstances", to_json(explanation.circumstances)},
                     {"conclusions", std::move(conclusions)}})
              << '\n';
}

} // namespace

int explain_request(const arguments& operands, const command_options& options)
{
    if (!operands.empty() || options.log_paths.empty() ||
        options.request_id.empty()) {
        std::cerr << "usage: tamarackhoist explain --log FILES --request ID "
                     "[--json]\n";
        return exit_usage_error;
    }
    std::vector<std::string> texts;
    for (const auto& path : options.log_paths) {
        auto text = read_file(path);
        if (!text) {
            return exit_usage_error;
        }
        texts.push_back(std::move(*text));
    }
    std::vector<std::string_view> lines;
    for (const auto& text : texts) {
        append_lines(text, lines);
    }
    const auto explanation =
        operators::build_request_story(lines, options.request_id);
    if (explanation.steps.empty()) {
        std::cerr << "tamarackhoist: no log line mentions request \""
                  << options.request_id
                  << "\"; only one in 64 complete requests is logged\n";
        return exit_failure;
    }
    if (options.json_output) {
        print_explanation_json(explanation);
    } else {
        print_explanation(explanation);
    }
    return exit_success;
}

} // namespace tamarackhoist::programs
