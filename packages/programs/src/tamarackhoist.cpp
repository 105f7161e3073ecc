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
DEFINE_string(log, "", "Logs of nodes, separated by commas, for explain");
DEFINE_string(request, "", "Identity of a request, for explain");
DEFINE_string(current, "", "Document in force, for check to compare with");

namespace
{

using namespace tamarackhoist::programs;

using command = int (*)(const arguments&, const command_options&);

int explain(const arguments& operands, const command_options& options)
{
    const bool is_from_logs = !options.logs.empty() || !options.request.empty();
    return is_from_logs ? explain_request(operands, options)
                        : explain_query(operands, options);
}

std::vector<std::string> split_list(const std::string& list)
{
    std::vector<std::string> words;
    std::istringstream stream(list);
    for (std::string word; std::getline(stream, word, ',');) {
        words.push_back(word);
    }
    return words;
}

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> all{
        {"check", check_document}, {"status", show_status},
        {"audit", show_audit},     {"explain", explain},
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
    "  tamarackhoist explain --log FILES --request ID\n"
    "      tells from logs what became of a request of the platform role\n"
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
    options.logs = split_list(FLAGS_log);
    options.request = FLAGS_request;
    for (const auto& text : split_list(FLAGS_nodes)) {
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
