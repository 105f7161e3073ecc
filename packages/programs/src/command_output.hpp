#ifndef TAMARACKHOIST_PROGRAMS_COMMAND_OUTPUT_HPP
#define TAMARACKHOIST_PROGRAMS_COMMAND_OUTPUT_HPP

#include <optional>
#include <string>
#include <vector>

namespace tamarackhoist::programs
{

using table_row = std::vector<std::string>;

/// Prints rows with aligned columns; the first row is the heading.
void print_table(const std::vector<table_row>& rows);

/// Reads a whole file, or reports to standard error that it cannot.
[[nodiscard]] std::optional<std::string> read_file(const std::string& path);

} // namespace tamarackhoist::programs

#endif
