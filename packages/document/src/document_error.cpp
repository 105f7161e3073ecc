#include <tamarackhoist/document/document_error.hpp>

namespace tamarackhoist::document
{

std::string document_error::to_text() const
{
    std::string text = "line " + std::to_string(line);
    text.append(": section \"").append(section).append("\"");
    if (!key.empty()) {
        text.append(", key \"").append(key).append("\"");
    }
    return text.append(": ").append(message);
}

} // namespace tamarackhoist::document
