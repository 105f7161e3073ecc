#ifndef TAMARACKHOIST_DOCUMENT_COMPOSITION_HPP
#define TAMARACKHOIST_DOCUMENT_COMPOSITION_HPP

#include <map>
#include <string>
#include <tamarackhoist/document/typed_section.hpp>
#include <vector>

namespace tamarackhoist::document
{

/// An inconsistency between sections that are each valid on their own.
struct composition_error {
    document_error error;
    /// Titles of every section that may have caused the error.
    std::vector<std::string> involved;
};

/// The sections of a document by title.
using typed_sections = std::map<std::string, typed_section>;

/// Returns every inconsistency between the sections: references to missing
/// sections, including the owning team; shard ranges that leave a gap or
/// overlap; classes of equal rank; replicas of another service; shards of a
/// query service without an index; and guaranteed shares that exceed 1 in
/// total.
[[nodiscard]] std::vector<composition_error>
check_composition(const typed_sections& sections);

/// Builds the deployment from sections for which check_composition() returned
/// no errors. `epoch` becomes the epoch of the deployment.
[[nodiscard]] policy::deployment_pointer compose(const typed_sections& sections,
                                                 std::uint64_t epoch);

} // namespace tamarackhoist::document

#endif
