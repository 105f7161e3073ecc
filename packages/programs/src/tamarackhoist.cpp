#include "command.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(nodes, "",
              "Addresses of nodes, separated by commas: their operators' "
              "ports, or for query the callers' port");
DEFINE_bool(json, false, "Print JSON instead of a table");
DEFINE_string(caller, "", "Name of the caller, for query");
DEFINE_string(current, "", "Document in force, for check to compare with");

namespace
{

using namespace tamarackhoist::programs;

using command = int (*)(const arguments&, const command_options&);

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> all{
        {"check", check_document}, {"status", show_status},
        {"audit", show_audit},     {"explain", explain_query},
        {"query", run_query},      {"replay", replay_trace},
    };
    return all;
}

constexpr auto usage =
    "the operator's command of the query tier\n"
    "  tamarackhoist check DOCUMENT [--current FILE] [--json]\n"
    "      validates a document and shows what it would change\n"
    "  tamarackhoist status --nodes LIST [--json]\n"
    "      shows each node's document, members, upstreams and classes\n"
    "  tamarackhoist audit [SUBJECT] --nodes LIST [--json]\n"
    "      merges the trails of changes of all nodes\n"
    "  tamarackhoist explain INDEX --nodes NODE [--json]\n"
    "      shows where each shard of a query would go\n"
    "  tamarackhoist query INDEX --caller NAME --nodes NODE\n"
    "      runs one query\n"
    "  tamarackhoist replay TRACE [--json]\n"
    "      replays a trace against its stated outcomes\n"
    "exit codes: 0 good, 1 something falls short, 2 wrong use";

int run(const arguments& words)
{
    if (words.empty()) {
        std::cerr << "usage: " << usage << '\n';
        return exit_wrong_use;
    }
    const auto found = commands().find(words.front());
    if (found == commands().end()) {
        std::cerr << "tamarackhoist: command \"" << words.front()
                  << "\" does not exist\nusage: " << usage << '\n';
        return exit_wrong_use;
    }
    command_options options;
    options.wants_json = FLAGS_json;
    options.caller = FLAGS_caller;
    options.current = FLAGS_current;
    std::istringstream list(FLAGS_nodes);
    for (std::string text; std::getline(list, text, ',');) {
        const auto node = tamarackhoist::transport::endpoint::parse(text);
        if (!node) {
            std::cerr << "tamarackhoist: \"" << text
                      << "\" is not of the form ADDRESS:PORT\n";
            return exit_wrong_use;
        }
        options.nodes.push_back(*node);
    }
    return found->second({words.begin() + 1, words.end()}, options);
}

} // namespace

int main(int argument_count, char** argument_values)
{
    gflags::SetUsageMessage(usage);
    // Help goes to standard output with exit code 0, as scripts expect.
    for (int position = 1; position < argument_count; ++position) {
        const std::string word = argument_values[position];
        if (word == "--help" || word == "-h") {
            std::cout << "usage: " << usage << '\n';
            return exit_good;
        }
    }
    gflags::ParseCommandLineFlags(&argument_count, &argument_values, true);
    return run({argument_values + 1, argument_values + argument_count});
}
