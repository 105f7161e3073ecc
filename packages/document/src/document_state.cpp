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

/// Orders two records of one section. Records of equal revision differ only
/// when replicas of the configuration service disagree; the hash makes every
/// node choose the same one.
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
    // Step 1: a revision only ever rises.
    auto& applied = applied_revisions_[source];
    if (revision <= applied) {
        return {};
    }
    applied = revision;

    // Step 2: the changed sections become candidates.
    std::vector<section_change> changes;
    candidates added;
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
                   {{section.title,
                     {},
                     section.line,
                     "the section is given twice"}},
                   changes);
            continue;
        }
        auto parsed = parse_section(section);
        if (!parsed) {
            refuse(next, std::move(parsed).error(), changes);
            continue;
        }
        next.content = std::move(parsed).value();
        added.emplace(section.title, std::move(next));
    }

    // Step 3: sections that the value no longer holds are removed.
    for (const auto& [title, record] : records_) {
        const bool is_absent = record.source == source && !record.is_removed &&
                               record.revision < revision &&
                               !present.contains(title);
        if (!is_absent) {
            continue;
        }
        added.emplace(title,
                      candidate{{title, source, revision, {}, true}, {}});
    }
    auto accepted = accept(std::move(added));
    changes.insert(changes.end(), accepted.begin(), accepted.end());
    return changes;
}

std::vector<section_change>
document_state::merge(std::span<const section_record> records)
{
    candidates added;
    std::vector<section_change> changes;
    for (const auto& record : records) {
        const auto known = records_.find(record.title);
        if (known != records_.end() && !is_newer(record, known->second)) {
            continue;
        }
        candidate next{record, std::nullopt};
        if (record.is_removed) {
            added.emplace(record.title, std::move(next));
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
        added.emplace(record.title, std::move(next));
    }
    auto accepted = accept(std::move(added));
    changes.insert(changes.end(), accepted.begin(), accepted.end());
    return changes;
}

typed_sections document_state::compose_with(const candidates& added) const
{
    auto composed = sections_;
    for (const auto& [title, each] : added) {
        if (each.content) {
            composed.insert_or_assign(title, *each.content);
        } else {
            composed.erase(title);
        }
    }
    return composed;
}

std::vector<section_change> document_state::accept(candidates added)
{
    std::vector<section_change> changes;
    // Step 4: candidates that do not fit together with the rest are refused,
    // until the composition has no fault that a candidate can have caused.
    while (!added.empty()) {
        std::map<std::string, std::vector<document_error>> blamed;
        for (const auto& fault : check_composition(compose_with(added))) {
            for (const auto& title : fault.involved) {
                if (!added.contains(title)) {
                    continue;
                }
                blamed[title].push_back(fault.error);
            }
        }
        if (blamed.empty()) {
            break;
        }
        for (auto& [title, errors] : blamed) {
            refuse(added.at(title), std::move(errors), changes);
            added.erase(title);
        }
    }

    // Step 5: the rest takes force.
    for (auto& [title, each] : added) {
        auto& record = records_[title];
        section_change change{title,
                              each.content ? each.content->owner
                                           : owner_of(title),
                              record.revision,
                              each.record.revision,
                              each.record.is_removed,
                              {}};
        const bool is_same = record.text == each.record.text &&
                             record.is_removed == each.record.is_removed;
        record = each.record;
        refusals_.erase(title);
        if (each.content) {
            sections_.insert_or_assign(title, *each.content);
        } else {
            sections_.erase(title);
        }
        if (!is_same) {
            changes.push_back(std::move(change));
        }
    }
    if (!added.empty()) {
        refresh();
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

void document_state::refresh()
{
    digest_ = {};
    for (const auto& [title, record] : records_) {
        digest_.revision = std::max(digest_.revision, record.revision);
        digest_.hash ^= hash_of(record);
    }
    const bool has_class = std::ranges::any_of(sections_, [](const auto& each) {
        return std::holds_alternative<policy::priority_class>(
            each.second.content);
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
