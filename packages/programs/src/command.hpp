#ifndef TAMARACKHOIST_PROGRAMS_COMMAND_HPP
#define TAMARACKHOIST_PROGRAMS_COMMAND_HPP

#include <string>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

/// The commands of the operator's program. Each returns an exit code.
namespace tamarackhoist::programs
{

constexpr int exit_good = 0;
/// The document, a bound or a node falls short.
constexpr int exit_falls_short = 1;
constexpr int exit_wrong_use = 2;

/// Options that several commands share.
struct command_options {
    bool wants_json = false;
    std::vector<transport::endpoint> nodes;
    std::string caller;
    /// Document in force, to compare with.
    std::string current;
    /// Logs of nodes, to search for `request`.
    std::vector<std::string> logs;
    std::string request;
};

using arguments = std::vector<std::string>;

int check_document(const arguments& operands, const command_options& options);
int show_status(const arguments& operands, const command_options& options);
int show_audit(const arguments& operands, const command_options& options);
int explain_query(const arguments& operands, const command_options& options);
int explain_request(const arguments& operands, const command_options& options);
int run_query(const arguments& operands, const command_options& options);
int replay_trace(const arguments& operands, const command_options& options);

} // namespace tamarackhoist::programs

#endif
