#ifndef TAMARACKHOIST_DOCUMENT_DOCUMENT_ERROR_HPP
#define TAMARACKHOIST_DOCUMENT_DOCUMENT_ERROR_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackhoist::document
{

/// An error in the document or the settings, worded for the author of the text.
struct document_error {
    /// Title of the section; empty for a line outside any section.
    std::string section;
    /// Key concerned; empty when the error concerns the section as a whole.
    std::string key;
    /// Line number in the text, counted from 1.
    std::size_t line = 0;
    std::string message;

    /// Returns `line N: section "S", key "K": message`, without the key
    /// when it is empty.
    [[nodiscard]] std::string to_text() const;
};

} // namespace tamarackhoist::document

#endif
