#ifndef TAMARACKHOIST_DOCUMENT_DOCUMENT_ERROR_HPP
#define TAMARACKHOIST_DOCUMENT_DOCUMENT_ERROR_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace tamarackhoist::document
{

/// One fault of the document, in terms that its author can act on.
struct document_error {
    std::string section;
    /// Empty when the fault concerns the section as a whole.
    std::string key;
    /// Line in the document, counted from 1.
    std::size_t line = 0;
    std::string message;

    /// Returns `line N: section "S", key "K": message`.
    [[nodiscard]] std::string to_text() const;
};

} // namespace tamarackhoist::document

#endif
