#include <tamarackhoist/document/composition.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::document
{

namespace
{

template <typename Content>
const Content* find_content(const typed_sections& sections,
                            const std::string& title)
{
    const auto found = sections.find(title);
    return found == sections.end()
               ? nullptr
               : std::get_if<Content>(&found->second.content);
}

/// Collects the inconsistencies between the sections of one document.
class composition_checker
{
public:
    explicit composition_checker(const typed_sections& sections)
        : sections_(sections)
    {
    }

    std::vector<composition_error> run()
    {
        for (const auto& [title, section] : sections_) {
            current_ = &section;
            require_section("owner", "team " + section.owner);
            std::visit([this](const auto& content) { check(content); },
                       section.content);
        }
        check_ranges();
        check_classes();
        return std::move(errors_);
    }

private:
    /// Reports an error in the current section. `involved` names the other
    /// sections that may have caused it.
    void fail(std::string key, std::string message,
              std::vector<std::string> involved)
    {
        involved.push_back(current_->title);
        errors_.push_back({{current_->title, std::move(key), current_->line,
                            std::move(message)},
                           std::move(involved)});
    }

    /// Returns whether the section exists, and reports an error if not.
    bool require_section(const std::string& key, const std::string& title)
    {
        if (sections_.contains(title)) {
            return true;
        }
        fail(key, "section \"" + title + "\" does not exist", {title});
        return false;
    }

    void check(const team&) {}
    void check(const failure_domain&) {}
    void check(const policy::priority_class&) {}
    void check(const policy::service&) {}

    void check(const retry_policy& content)
    {
        require_section({}, "class " + content.class_name);
    }

    void check(const policy::upstream& content)
    {
        require_section("service", "service " + content.service);
        require_section("failure_domain",
                        "failure_domain " + content.failure_domain);
    }

    void check(const caller_section& content)
    {
        require_section("query_class", "class " + content.query_class);
        require_section("order_class", "class " + content.order_class);
    }

    void check(const shard_section& content)
    {
        const auto service_title = "service " + content.description.service;
        if (!require_section("service", service_title)) {
            return;
        }
        const auto* service =
            find_content<policy::service>(sections_, service_title);
        const bool is_query = service->kind == policy::service_kind::query;
        if (is_query && content.description.index.empty()) {
            fail("index",
                 "a shard of query service \"" + content.description.service +
                     "\" requires an index",
                 {service_title});
        }
        for (const auto& replica : content.replicas) {
            const auto title = "upstream " + replica;
            if (!require_section("replicas", title)) {
                continue;
            }
            const auto* found =
                find_content<policy::upstream>(sections_, title);
            if (found->service != content.description.service) {
                fail("replicas",
                     "upstream \"" + replica + "\" belongs to service \"" +
                         found->service + "\"",
                     {title});
            }
        }
    }

    /// Checks that the shards of each index, and of each order service,
    /// cover the whole key space without overlaps.
    void check_ranges()
    {
        std::map<std::string, std::vector<const typed_section*>> groups;
        for (const auto& [title, section] : sections_) {
            const auto* content = std::get_if<shard_section>(&section.content);
            if (content == nullptr) {
                continue;
            }
            const auto& shard = content->description;
            groups[shard.index.empty() ? "service \"" + shard.service + "\""
                                       : "index \"" + shard.index + "\""]
                .push_back(&section);
        }
        for (auto& [name, members] : groups) {
            check_group_ranges(name, members);
        }
    }

    void check_group_ranges(const std::string& name,
                            std::vector<const typed_section*>& members)
    {
        const auto range_of = [](const typed_section* section) {
            return std::get<shard_section>(section->content).description.range;
        };
        std::ranges::sort(members, {}, range_of);
        std::vector<std::string> titles;
        for (const auto* section : members) {
            titles.push_back(section->title);
        }
        policy::key covered_end = 0;
        for (const auto* section : members) {
            current_ = section;
            const auto range = range_of(section);
            if (range.begin > covered_end) {
                fail("range",
                     "the shards of " + name + " leave a gap before " +
                         std::to_string(range.begin),
                     titles);
            } else if (range.begin < covered_end) {
                fail("range",
                     "the shards of " + name + " overlap at " +
                         std::to_string(range.begin),
                     titles);
            }
            covered_end = std::max(covered_end, range.end);
        }
        if (covered_end != policy::key_space_end) {
            fail("range",
                 "the shards of " + name + " leave a gap after " +
                     std::to_string(covered_end),
                 titles);
        }
    }

    void check_classes()
    {
        std::map<std::uint32_t, std::string> titles_by_rank;
        double total_share = 0;
        std::vector<std::string> involved;
        for (const auto& [title, section] : sections_) {
            const auto* content =
                std::get_if<policy::priority_class>(&section.content);
            if (content == nullptr) {
                continue;
            }
            current_ = &section;
            involved.push_back(title);
            total_share += content->guaranteed_share;
            const auto [entry, is_new] =
                titles_by_rank.emplace(content->rank, title);
            if (!is_new) {
                fail("rank",
                     "rank " + std::to_string(content->rank) +
                         " is already used by section \"" + entry->second +
                         "\"",
                     {entry->second});
            }
        }
        if (total_share > 1) {
            fail("guaranteed_share",
                 "the guaranteed shares of all classes add up to more than 1",
                 involved);
        }
    }

    const typed_sections& sections_;
    /// Section in which fail() reports an error.
    const typed_section* current_ = nullptr;
    std::vector<composition_error> errors_;
};

template <typename Content, typename Action>
void for_each_content(const typed_sections& sections, Action action)
{
    for (const auto& [title, section] : sections) {
        const auto* content = std::get_if<Content>(&section.content);
        if (content == nullptr) {
            continue;
        }
        action(*content);
    }
}

} // namespace

std::vector<composition_error> check_composition(const typed_sections& sections)
{
    return composition_checker(sections).run();
}

policy::deployment_pointer compose(const typed_sections& sections,
                                   std::uint64_t epoch)
{
    policy::deployment::builder builder;
    builder.epoch(epoch);
    std::vector<policy::priority_class> classes;
    for_each_content<policy::priority_class>(sections, [&](auto value) {
        const auto* retry =
            find_content<retry_policy>(sections, "retry " + value.name);
        if (retry != nullptr) {
            value.max_attempts = retry->max_attempts;
            value.may_hedge = retry->may_hedge;
        }
        classes.push_back(value);
    });
    std::ranges::sort(classes, {}, &policy::priority_class::rank);
    for (const auto& priority_class : classes) {
        builder.add(priority_class);
    }
    const auto class_index_of = [&](const std::string& name) {
        const auto found =
            std::ranges::find(classes, name, &policy::priority_class::name);
        return static_cast<policy::class_index>(found - classes.begin());
    };
    for_each_content<policy::service>(
        sections, [&](const auto& value) { builder.add(value); });
    for_each_content<policy::upstream>(
        sections, [&](const auto& value) { builder.add(value); });
    for_each_content<shard_section>(
        sections, [&](const auto& value) { builder.add(value.description); });
    for_each_content<caller_section>(sections, [&](const auto& value) {
        builder.add(policy::caller{value.name,
                                   class_index_of(value.query_class),
                                   class_index_of(value.order_class)});
    });
    return builder.build();
}

} // namespace tamarackhoist::document
