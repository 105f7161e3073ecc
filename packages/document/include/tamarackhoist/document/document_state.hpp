#ifndef TAMARACKHOIST_DOCUMENT_DOCUMENT_STATE_HPP
#define TAMARACKHOIST_DOCUMENT_DOCUMENT_STATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/document/composition.hpp>
#include <tamarackhoist/policy/deployment.hpp>
#include <vector>

namespace tamarackhoist::document
{

/// The accepted revision of one section, as nodes replicate it. A removed
/// section keeps its record as a tombstone, so that an older copy on another
/// node cannot restore it.
struct section_record {
    std::string title;
    /// Key of the configuration service whose value holds the section.
    std::string source;
    /// Revision of that value at the configuration service.
    std::uint64_t revision = 0;
    /// The section as written in the document; empty for a removed section.
    std::string text;
    bool is_removed = false;

    bool operator==(const section_record&) const = default;
};

/// An accepted or refused change to one section.
struct section_change {
    std::string title;
    /// Team that owns the section; empty when unknown.
    std::string owner;
    /// Last accepted revision before the change; 0 when there was none.
    std::uint64_t old_revision = 0;
    std::uint64_t new_revision = 0;
    bool is_removed = false;
    /// Errors of a refused section; empty when it was accepted.
    std::vector<document_error> errors;
};

/// Digest of the records of one node. Nodes with equal digests hold the same
/// records.
struct document_digest {
    /// Greatest revision of any record.
    std::uint64_t revision = 0;
    /// Combined hash of all records, independent of their order.
    std::uint64_t hash = 0;
    bool operator==(const document_digest&) const = default;
};

/// The document as one node holds it: the last accepted revision of each
/// section. Sections are accepted or refused one by one, so an invalid section
/// does not hold back the others. Not thread-safe.
///
/// docs/design/document.md describes the acceptance steps.
class document_state
{
public:
    /// Applies one value of the configuration service and returns the
    /// sections that changed or were refused. A revision that is not greater
    /// than the last one applied from `source` has no effect.
    std::vector<section_change> apply(const std::string& source,
                                      std::string_view text,
                                      std::uint64_t revision);

    /// Merges the records of another node: those newer than the local ones
    /// are applied. Returns the sections that changed or were refused.
    std::vector<section_change> merge(std::span<const section_record> records);

    /// Returns the configuration in force, or nullptr until a document with
    /// at least one priority class has been accepted.
    [[nodiscard]] policy::deployment_pointer effective() const
    {
        return effective_;
    }

    [[nodiscard]] document_digest digest() const { return digest_; }
    /// Returns the records of all sections, including removed ones.
    [[nodiscard]] std::vector<section_record> records() const;
    [[nodiscard]] bool empty() const { return records_.empty(); }

    /// Returns the latest refused change of each section that has had no
    /// valid revision since.
    [[nodiscard]] std::vector<section_change> refusals() const;

    /// Returns the owner of the accepted section `title`, or an empty string
    /// when there is no such section.
    [[nodiscard]] std::string owner_of(const std::string& title) const;

private:
    /// A section revision that has not been accepted yet.
    struct candidate {
        section_record record;
        /// Empty when the candidate removes the section.
        std::optional<typed_section> content;
    };
    using candidates = std::map<std::string, candidate>;

    /// Returns the accepted sections with the candidates applied to them.
    [[nodiscard]] typed_sections sections_with(const candidates& changed) const;
    /// Accepts the candidates that are consistent with the other sections and
    /// refuses the others.
    std::vector<section_change> accept(candidates changed);
    /// Records the refusal of a candidate and appends it to `changes`.
    void refuse(const candidate& refused, std::vector<document_error> errors,
                std::vector<section_change>& changes);
    /// Recomputes the digest and the configuration in force.
    void update_effective();

    std::map<std::string, section_record> records_;
    typed_sections sections_;
    /// Last applied revision by source.
    std::map<std::string, std::uint64_t> applied_revisions_;
    /// Refused changes by section title.
    std::map<std::string, section_change> refusals_;
    policy::deployment_pointer effective_;
    document_digest digest_;
};

} // namespace tamarackhoist::document

#endif
