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

/// The accepted revision of one section, as nodes pass it on. A removed
/// section keeps its record, so that an older copy cannot bring it back.
struct section_record {
    std::string title;
    /// Value of the configuration service that holds the section.
    std::string source;
    std::uint64_t revision = 0;
    std::string text;
    bool is_removed = false;

    bool operator==(const section_record&) const = default;
};

/// One section that changed, or that was refused.
struct section_change {
    std::string title;
    std::string owner;
    std::uint64_t old_revision = 0;
    std::uint64_t new_revision = 0;
    bool is_removed = false;
    /// Faults of a refused section; empty when it was accepted.
    std::vector<document_error> errors;
};

/// Summary of the records of one node, to compare with another's.
struct document_digest {
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    bool operator==(const document_digest&) const = default;
};

/// The document as one node holds it: for each section the last accepted
/// revision. The unit of acceptance is the section. Not thread-safe.
///
/// docs/design/document.md describes the steps of acceptance.
class document_state
{
public:
    /// Applies one value of the configuration service. A revision that is
    /// not greater than the last one applied from `source` has no effect.
    std::vector<section_change> apply(const std::string& source,
                                      std::string_view text,
                                      std::uint64_t revision);

    /// Takes over the records of another node that are newer than ours.
    std::vector<section_change> merge(std::span<const section_record> records);

    /// Returns the effective configuration, or nullptr before any document
    /// with a priority class.
    [[nodiscard]] policy::deployment_pointer effective() const
    {
        return effective_;
    }

    [[nodiscard]] document_digest digest() const { return digest_; }
    [[nodiscard]] std::vector<section_record> records() const;
    [[nodiscard]] bool empty() const { return records_.empty(); }

    /// Returns the refused sections that are still refused.
    [[nodiscard]] std::vector<section_change> refusals() const;

    /// Returns the owner of an accepted section, or an empty string.
    [[nodiscard]] std::string owner_of(const std::string& title) const;

private:
    struct candidate {
        section_record record;
        std::optional<typed_section> content;
    };
    using candidates = std::map<std::string, candidate>;

    [[nodiscard]] typed_sections compose_with(const candidates& added) const;
    std::vector<section_change> accept(candidates added);
    void refuse(const candidate& refused, std::vector<document_error> errors,
                std::vector<section_change>& changes);
    void refresh();

    std::map<std::string, section_record> records_;
    typed_sections sections_;
    std::map<std::string, std::uint64_t> applied_revisions_;
    std::map<std::string, section_change> refusals_;
    policy::deployment_pointer effective_;
    document_digest digest_;
};

} // namespace tamarackhoist::document

#endif
