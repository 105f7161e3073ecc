#include "command_output.hpp"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace tamarackhoist::programs
{

void print_table(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    constexpr std::size_t column_gap = 2;
    for (const auto& row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool is_last = column + 1 == row.size();
            const auto width = is_last ? 0 : widths[column] + column_gap;
            std::cout << std::left << std::setw(static_cast<int>(width))
                      << row[column];
        }
        std::cout << '\n';
    }
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "tamarackhoist: cannot open file \"" << path << "\"\n";
        return std::nullopt;
    }
    std::ostringstream contents;
    contents << file.rdbuf();
    return contents.str();
}

} // namespace tamarackhoist::programs
