#include "command.hpp"
#include "command_output.hpp"

#include <boost/json.hpp>
#include <iostream>
#include <tamarackhoist/document/document_state.hpp>

namespace tamarackhoist::programs
{

namespace json = boost::json;
using document::section_change;

namespace
{

/// Source name of both documents, so that the second replaces the first.
constexpr auto source_name = "document";

std::string describe_change(const section_change& change)
{
    if (!change.errors.empty()) {
        return "refused";
    }
    if (change.is_removed) {
        return "removed";
    }
    return change.old_revision == 0 ? "added" : "changed";
}

void print_changes(const std::vector<section_change>& changes)
{
    std::vector<table_row> rows{{"SECTION", "OWNER", "CHANGE"}};
    for (const auto& change : changes) {
        rows.push_back({change.title, change.owner, describe_change(change)});
    }
    print_table(rows);
}

void print_errors(const std::string& path,
                  const std::vector<section_change>& changes)
{
    for (const auto& change : changes) {
        for (const auto& error : change.errors) {
            std::cerr << path << ": " << error.to_text() << '\n';
        }
    }
}

void print_changes_json(const std::vector<section_change>& changes)
{
    json::array entries;
    for (const auto& change : changes) {
        json::array errors;
        for (const auto& error : change.errors) {
            errors.push_back({{"section", error.section},
                              {"key", error.key},
                              {"line", error.line},
                              {"message", error.message}});
        }
        entries.push_back({{"section", change.title},
                           {"owner", change.owner},
                           {"change", describe_change(change)},
                           {"errors", errors}});
    }
    std::cout << json::serialize(entries) << '\n';
}

} // namespace

int check_document(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1) {
        std::cerr << "usage: tamarackhoist check DOCUMENT [--current FILE]\n";
        return exit_usage_error;
    }
    const auto text = read_file(operands.front());
    if (!text) {
        return exit_usage_error;
    }
    document::document_state state;
    std::uint64_t revision = 1;
    if (!options.current_document_path.empty()) {
        const auto current = read_file(options.current_document_path);
        if (!current) {
            return exit_usage_error;
        }
        (void)state.apply(source_name, *current, revision);
        ++revision;
    }
    const auto changes = state.apply(source_name, *text, revision);
    if (options.json_output) {
        print_changes_json(changes);
    } else {
        print_changes(changes);
        print_errors(operands.front(), changes);
    }
    const bool is_valid = state.refusals().empty() && state.effective();
    return is_valid ? exit_success : exit_failure;
}

} // namespace tamarackhoist::programs
