#include "command.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(nodes, "",
              "Comma-separated ADDRESS:PORT list of the nodes' operator ports; "
              "for query, of their caller ports");
DEFINE_bool(json, false, "Print JSON instead of a table");
DEFINE_string(caller, "", "Name of the caller that query sends as");
DEFINE_string(log, "",
              "Comma-separated paths of the node logs that explain reads");
DEFINE_string(request, "", "Request id that explain looks up in the logs");
DEFINE_string(current, "",
              "Path of the document in force, which check compares with");

namespace
{

using namespace tamarackhoist::programs;

using command_function = int (*)(const arguments&, const command_options&);

/// Explains a logged request when a flag about logs is given, else a query.
int explain(const arguments& operands, const command_options& options)
{
    const bool uses_logs =
        !options.log_paths.empty() || !options.request_id.empty();
    return uses_logs ? explain_request(operands, options)
                     : explain_query(operands, options);
}

/// Splits a comma-separated list; an empty one has no items.
std::vector<std::string> split_list(const std::string& list)
{
    std::vector<std::string> items;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

const std::map<std::string, command_function>& commands()
{
    static const std::map<std::string, command_function> functions{
        {"check", check_document}, {"status", show_status},
        {"audit", show_audit},     {"explain", explain},
        {"query", run_query},      {"replay", replay_trace},
    };
    return functions;
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

/// Runs the command that the first operand names with the operands after it.
int run_command(const arguments& operands)
{
    if (operands.empty()) {
        std::cerr << "usage: " << usage << '\n';
        return exit_usage_error;
    }
    const auto command = commands().find(operands.front());
    if (command == commands().end()) {
        std::cerr << "tamarackhoist: command \"" << operands.front()
                  << "\" does not exist\nusage: " << usage << '\n';
        return exit_usage_error;
    }
    command_options options;
    options.json_output = FLAGS_json;
    options.caller = FLAGS_caller;
    options.current_document_path = FLAGS_current;
    options.log_paths = split_list(FLAGS_log);
    options.request_id = FLAGS_request;
    for (const auto& text : split_list(FLAGS_nodes)) {
        const auto node = tamarackhoist::transport::endpoint::parse(text);
        if (!node) {
            std::cerr << "tamarackhoist: node address \"" << text
                      << "\" is not of the form ADDRESS:PORT\n";
            return exit_usage_error;
        }
        options.nodes.push_back(*node);
    }
    return command->second({operands.begin() + 1, operands.end()}, options);
}

} // namespace

int main(int argument_count, char** argument_values)
{
    gflags::SetUsageMessage(usage);
    // gflags would exit with code 1 after --help; scripts expect code 0 and
    // the text on standard output.
    for (int position = 1; position < argument_count; ++position) {
        const std::string argument = argument_values[position];
        if (argument == "--help" || argument == "-h") {
            std::cout << "usage: " << usage << '\n';
            return exit_success;
        }
    }
    gflags::ParseCommandLineFlags(&argument_count, &argument_values, true);
    return run_command({argument_values + 1, argument_values + argument_count});
}
