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

struct ini_entry {
    std::string key;
    std::string value;
    /// Line within the whole text, counted from 1.
    std::size_t line = 0;
};

/// One `[kind name]` section of an INI text.
struct ini_section {
    /// Text between the brackets, with single spaces.
    std::string title;
    /// First word of the title.
    std::string kind;
    /// Rest of the title; empty for a section such as `[node]`.
    std::string name;
    std::size_t line = 0;
    std::vector<ini_entry> entries;
    /// The section as written, from its title to the line before the next.
    std::string text;
    /// Faults found while reading, such as a line without `=`.
    std::vector<document_error> errors;

    /// Returns the first entry with this key, or nullptr.
    [[nodiscard]] const ini_entry* find(std::string_view key) const;
};

/// Reads an INI text into its sections, in order. `first_line` is the number
/// of the text's first line. Lines outside any section are reported in a
/// section with an empty title.
///
/// Libraries for INI drop the line numbers and the original text of a
/// section, and both are needed: errors name the line, and nodes pass on
/// sections as written.
[[nodiscard]] std::vector<ini_section> read_ini(std::string_view text,
                                                std::size_t first_line = 1);

} // namespace tamarackhoist::document

#endif
