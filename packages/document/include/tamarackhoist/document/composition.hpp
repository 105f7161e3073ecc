#ifndef TAMARACKHOIST_DOCUMENT_COMPOSITION_HPP
#define TAMARACKHOIST_DOCUMENT_COMPOSITION_HPP

#include <map>
#include <string>
#include <tamarackhoist/document/typed_section.hpp>
#include <vector>

namespace tamarackhoist::document
{

/// A fault between sections, with the titles of every section that can
/// have caused it.
struct composition_error {
    document_error error;
    std::vector<std::string> involved;
};

using typed_sections = std::map<std::string, typed_section>;

/// Returns every fault between the sections: references to absent sections,
/// sections of no team, and key ranges of an index with a hole or an overlap.
[[nodiscard]] std::vector<composition_error>
check_composition(const typed_sections& sections);

/// Builds the deployment from sections without composition errors.
[[nodiscard]] policy::deployment_pointer compose(const typed_sections& sections,
                                                 std::uint64_t epoch);

} // namespace tamarackhoist::document

#endif
