#include <tamarackhoist/document/document_state.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::document
{

namespace
{

std::uint64_t hash_of(const section_record& record)
{
    const auto text = policy::hash_text(record.text);
    return policy::hash_pair(
        policy::hash_text(record.title),
        policy::hash_pair(record.revision, record.is_removed ? ~text : text));
}

/// Returns whether `left` supersedes `right`, a record of the same section.
/// Records of equal revision differ only when replicas of the configuration
/// service disagree; comparing hashes makes every node choose the same one.
bool is_newer(const section_record& left, const section_record& right)
{
    if (left.revision != right.revision) {
        return left.revision > right.revision;
    }
    return hash_of(left) > hash_of(right);
}

} // namespace

std::vector<section_change> document_state::apply(const std::string& source,
                                                  std::string_view text,
                                                  std::uint64_t revision)
{
    // Step 1: ignore a revision that is not newer than the last one applied.
    auto& applied = applied_revisions_[source];
    if (revision <= applied) {
        return {};
    }
    applied = revision;

    // Step 2: changed sections become candidates.
    std::vector<section_change> changes;
    candidates changed;
    std::set<std::string> present;
    std::set<std::string> duplicated;
    const auto sections = read_ini(text);
    for (const auto& section : sections) {
        if (!present.insert(section.title).second) {
            duplicated.insert(section.title);
        }
    }
    for (const auto& section : sections) {
        const auto known = records_.find(section.title);
        const bool is_known = known != records_.end();
        if (is_known && known->second.revision >= revision) {
            continue;
        }
        if (is_known && known->second.text == section.text &&
            !known->second.is_removed && !duplicated.contains(section.title)) {
            refusals_.erase(section.title);
            continue;
        }
        candidate next{{section.title, source, revision, section.text, false},
                       std::nullopt};
        if (duplicated.contains(section.title)) {
            refuse(next,
                   {{section.title, {}, section.line, "duplicate section"}},
                   changes);
            continue;
        }
        auto parsed = parse_section(section);
        if (!parsed) {
            refuse(next, std::move(parsed).error(), changes);
            continue;
        }
        next.content = std::move(parsed).value();
        changed.emplace(section.title, std::move(next));
    }

    // Step 3: remove sections that the value no longer contains.
    for (const auto& [title, record] : records_) {
        const bool is_absent = record.source == source && !record.is_removed &&
                               record.revision < revision &&
                               !present.contains(title);
        if (!is_absent) {
            continue;
        }
        changed.emplace(title,
                        candidate{{title, source, revision, {}, true}, {}});
    }
    auto accepted = accept(std::move(changed));
    changes.insert(changes.end(), accepted.begin(), accepted.end());
    return changes;
}

std::vector<section_change>
document_state::merge(std::span<const section_record> records)
{
    candidates changed;
    std::vector<section_change> changes;
    for (const auto& record : records) {
        const auto known = records_.find(record.title);
        if (known != records_.end() && !is_newer(record, known->second)) {
            continue;
        }
        candidate next{record, std::nullopt};
        if (record.is_removed) {
            changed.emplace(record.title, std::move(next));
            continue;
        }
        const auto sections = read_ini(record.text);
        if (sections.size() != 1 || sections.front().title != record.title) {
            continue;
        }
        auto parsed = parse_section(sections.front());
        if (!parsed) {
            refuse(next, std::move(parsed).error(), changes);
            continue;
        }
        next.content = std::move(parsed).value();
        changed.emplace(record.title, std::move(next));
    }
    auto accepted = accept(std::move(changed));
    changes.insert(changes.end(), accepted.begin(), accepted.end());
    return changes;
}

typed_sections document_state::sections_with(const candidates& changed) const
{
    auto sections = sections_;
    for (const auto& [title, change] : changed) {
        if (change.content) {
            sections.insert_or_assign(title, *change.content);
        } else {
            sections.erase(title);
        }
    }
    return sections;
}

std::vector<section_change> document_state::accept(candidates changed)
{
    std::vector<section_change> changes;
    // Step 4: refuse candidates that are inconsistent with the other sections,
    // until no candidate is involved in a composition error.
    while (!changed.empty()) {
        std::map<std::string, std::vector<document_error>> errors_by_title;
        for (const auto& inconsistency :
             check_composition(sections_with(changed))) {
            for (const auto& title : inconsistency.involved) {
                if (!changed.contains(title)) {
                    continue;
                }
                errors_by_title[title].push_back(inconsistency.error);
            }
        }
        if (errors_by_title.empty()) {
            break;
        }
        for (auto& [title, errors] : errors_by_title) {
            refuse(changed.at(title), std::move(errors), changes);
            changed.erase(title);
        }
    }

    // Step 5: put the remaining candidates in force.
    for (auto& [title, accepted] : changed) {
        auto& record = records_[title];
        section_change change{title,
                              accepted.content ? accepted.content->owner
                                               : owner_of(title),
                              record.revision,
                              accepted.record.revision,
                              accepted.record.is_removed,
                              {}};
        const bool is_unchanged =
            record.text == accepted.record.text &&
            record.is_removed == accepted.record.is_removed;
        record = accepted.record;
        refusals_.erase(title);
        if (accepted.content) {
            sections_.insert_or_assign(title, *accepted.content);
        } else {
            sections_.erase(title);
        }
        if (!is_unchanged) {
            changes.push_back(std::move(change));
        }
    }
    if (!changed.empty()) {
        update_effective();
    }
    return changes;
}

void document_state::refuse(const candidate& refused,
                            std::vector<document_error> errors,
                            std::vector<section_change>& changes)
{
    const auto known = records_.find(refused.record.title);
    section_change change{refused.record.title,
                          refused.content ? refused.content->owner
                                          : owner_of(refused.record.title),
                          known == records_.end() ? 0 : known->second.revision,
                          refused.record.revision,
                          refused.record.is_removed,
                          std::move(errors)};
    refusals_[change.title] = change;
    changes.push_back(std::move(change));
}

void document_state::update_effective()
{
    digest_ = {};
    for (const auto& [title, record] : records_) {
        digest_.revision = std::max(digest_.revision, record.revision);
        digest_.hash ^= hash_of(record);
    }
    const bool has_class =
        std::ranges::any_of(sections_, [](const auto& section) {
            return std::holds_alternative<policy::priority_class>(
                section.second.content);
        });
    if (has_class) {
        effective_ = compose(sections_, digest_.revision);
    }
}

std::vector<section_record> document_state::records() const
{
    std::vector<section_record> all;
    all.reserve(records_.size());
    for (const auto& [title, record] : records_) {
        all.push_back(record);
    }
    return all;
}

std::vector<section_change> document_state::refusals() const
{
    std::vector<section_change> all;
    for (const auto& [title, change] : refusals_) {
        all.push_back(change);
    }
    return all;
}

std::string document_state::owner_of(const std::string& title) const
{
    const auto found = sections_.find(title);
    return found == sections_.end() ? std::string() : found->second.owner;
}

} // namespace tamarackhoist::document
