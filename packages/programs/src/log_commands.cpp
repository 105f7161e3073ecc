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

/// Cuts `text` into its lines; they refer to it.
void add_lines(std::string_view text, std::vector<std::string_view>& lines)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

std::string describe_members(const operators::log_entry& entry)
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
    for (const auto& each : entries) {
        rows.push_back({each.time, each.node,
                        "E" + std::to_string(static_cast<int>(each.event)),
                        each.name, describe_members(each)});
    }
    print_table(rows);
}

json::array to_json(const std::vector<operators::log_entry>& entries)
{
    json::array array;
    for (const auto& each : entries) {
        json::object members;
        for (const auto& [name, value] : each.members) {
            members[name] = value;
        }
        array.push_back(json::object{{"time", each.time},
                                     {"node", each.node},
                                     {"event", static_cast<int>(each.event)},
                                     {"name", each.name},
                                     {"members", std::move(members)}});
    }
    return array;
}

void print_story(const operators::request_story& story)
{
    print_entries(story.steps);
    if (!story.circumstances.empty()) {
        std::cout << "\nwhat these nodes learned meanwhile:\n";
        print_entries(story.circumstances);
    }
    std::cout << '\n';
    for (const auto& each : story.conclusions) {
        std::cout << each << '\n';
    }
}

void print_story_json(const operators::request_story& story)
{
    json::array conclusions(story.conclusions.begin(), story.conclusions.end());
    std::cout << json::serialize(json::object{
                     {"steps", to_json(story.steps)},
                     {"circumstances", to_json(story.circumstances)},
                     {"conclusions", std::move(conclusions)}})
              << '\n';
}

} // namespace

int explain_request(const arguments& operands, const command_options& options)
{
    if (!operands.empty() || options.logs.empty() || options.request.empty()) {
        std::cerr << "usage: tamarackhoist explain --log FILES --request ID "
                     "[--json]\n";
        return exit_wrong_use;
    }
    std::vector<std::string> texts;
    for (const auto& path : options.logs) {
        auto text = read_file(path);
        if (!text) {
            return exit_wrong_use;
        }
        texts.push_back(std::move(*text));
    }
    std::vector<std::string_view> lines;
    for (const auto& text : texts) {
        add_lines(text, lines);
    }
    const auto story = operators::build_request_story(lines, options.request);
    if (story.steps.empty()) {
        std::cerr << "tamarackhoist: no line names request \""
                  << options.request
                  << "\"; of complete requests only one in 64 is logged\n";
        return exit_falls_short;
    }
    if (options.wants_json) {
        print_story_json(story);
    } else {
        print_story(story);
    }
    return exit_good;
}

} // namespace tamarackhoist::programs
