#ifndef TAMARACKHOIST_PROGRAMS_COMMAND_OUTPUT_HPP
#define TAMARACKHOIST_PROGRAMS_COMMAND_OUTPUT_HPP

#include <optional>
#include <string>
#include <vector>

namespace tamarackhoist::programs
{

using table_row = std::vector<std::string>;

/// Prints rows to standard output with left-aligned columns; the first row is
/// the heading.
void print_table(const std::vector<table_row>& rows);

/// Returns the contents of a file. When it cannot be opened, prints an error
/// to standard error and returns std::nullopt.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

} // namespace tamarackhoist::programs

#endif
