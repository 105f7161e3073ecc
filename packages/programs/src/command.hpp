#ifndef TAMARACKHOIST_PROGRAMS_COMMAND_HPP
#define TAMARACKHOIST_PROGRAMS_COMMAND_HPP

#include <string>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

/// The subcommands of the `tamarackhoist` program. Each one takes the operands
/// that follow the subcommand's name, prints its result to standard output and
/// errors to standard error, and returns the exit code of the process.
namespace tamarackhoist::programs
{

constexpr int exit_success = 0;
/// The command ran, but a check failed: a section was refused, an outcome
/// missed its bound, a node did not answer, or the requested object does not
/// exist.
constexpr int exit_failure = 1;
/// The arguments are wrong, or an input file cannot be read or parsed.
constexpr int exit_usage_error = 2;

/// Values of the command-line flags. Each command reads those that apply to
/// it and ignores the others.
struct command_options {
    /// Print JSON instead of a table.
    bool json_output = false;
    /// Operator ports of the nodes; for `run_query`, caller ports.
    std::vector<transport::endpoint> nodes;
    /// Name of the caller on whose behalf `run_query` sends the query.
    std::string caller;
    /// Path of the document in force, against which `check_document` compares;
    /// empty to compare with an empty document.
    std::string current_document_path;
    /// Paths of the node logs that `explain_request` searches.
    std::vector<std::string> log_paths;
    /// Request id that `explain_request` looks up.
    std::string request_id;
};

using arguments = std::vector<std::string>;

/// Validates the document file named by the only operand and prints the
/// sections that it adds, changes or removes. Fails when a section is refused
/// or the result has no priority class.
int check_document(const arguments& operands, const command_options& options);

/// Prints the state of each node. Fails when a node does not answer, is not
/// ready or has refused a section, or when the nodes' documents differ.
int show_status(const arguments& operands, const command_options& options);

/// Merges the audit trails of all nodes in order of time, optionally only the
/// entries of one subject. Fails when a node does not answer.
int show_audit(const arguments& operands, const command_options& options);

/// Asks the first node to which replicas it would send each shard of a query
/// to the index named by the only operand. Fails when the index has no shards.
int explain_query(const arguments& operands, const command_options& options);

/// Reconstructs from node logs what happened to one request. Fails when no log
/// line mentions the request.
int explain_request(const arguments& operands, const command_options& options);

/// Sends one query to the first node and prints the body of the response.
/// Fails unless the response has HTTP status 200.
int run_query(const arguments& operands, const command_options& options);

/// Replays a trace and compares each outcome with its bound. Fails when an
/// outcome misses its bound.
int replay_trace(const arguments& operands, const command_options& options);

} // namespace tamarackhoist::programs

#endif
