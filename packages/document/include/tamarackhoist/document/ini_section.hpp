#ifndef TAMARACKHOIST_DOCUMENT_INI_SECTION_HPP
#define TAMARACKHOIST_DOCUMENT_INI_SECTION_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <tamarackhoist/document/document_error.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <vector>

namespace tamarackhoist::document
{

/// One `key = value` line.
struct ini_entry {
    std::string key;
    std::string value;
    /// Line number in the whole text, counted from 1.
    std::size_t line = 0;
};

/// One `[kind name]` section of an INI text.
struct ini_section {
    /// Text between the brackets, with runs of spaces collapsed to one.
    std::string title;
    /// First word of the title.
    std::string kind;
    /// Rest of the title; empty for a section such as `[node]`.
    std::string name;
    /// Line number of the title.
    std::size_t line = 0;
    std::vector<ini_entry> entries;
    /// The section as written, from its title line up to the next title.
    std::string text;
    /// Syntax errors, such as a line without `=`.
    std::vector<document_error> errors;

    /// Returns the entry with this key, or nullptr.
    [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// Parses an INI text into its sections, in order. `first_line` is the number
/// of the first line of the text. Lines before the first title are reported as
/// errors of a section with an empty title.
///
/// INI libraries discard the line numbers and the original text of a section.
/// Both are needed here: errors name the line, and nodes replicate sections as
/// written.
[[nodiscard]] std::vector<ini_section> read_ini(std::string_view text,
                                                std::size_t first_line = 1);

} // namespace tamarackhoist::document

#endif
