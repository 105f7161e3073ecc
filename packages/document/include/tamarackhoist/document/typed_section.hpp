#ifndef TAMARACKHOIST_DOCUMENT_TYPED_SECTION_HPP
#define TAMARACKHOIST_DOCUMENT_TYPED_SECTION_HPP

#include <string>
#include <tamarackhoist/document/ini_section.hpp>
#include <tamarackhoist/policy/deployment.hpp>
#include <variant>
#include <vector>

namespace tamarackhoist::document
{

struct team {
    std::string name;
};

struct failure_domain {
    std::string name;
    std::string region;
};

/// `[retry CLASS]`: who may retry what.
struct retry_policy {
    std::string class_name;
    std::uint32_t max_attempts = 1;
    bool may_hedge = false;
};

struct caller_section {
    std::string name;
    std::string query_class;
    std::string order_class;
};

/// A replica list of a shard by name, as the document writes it.
struct shard_section {
    policy::shard description;
    std::vector<std::string> replicas;
};

using section_content =
    std::variant<team, failure_domain, policy::priority_class, retry_policy,
                 policy::service, shard_section, policy::upstream,
                 caller_section>;

/// One section that is valid on its own.
struct typed_section {
    std::string title;
    /// Team that owns the section; its own name for a team.
    std::string owner;
    std::size_t line = 0;
    section_content content;
};

/// The content of a section, or every fault that it has on its own.
[[nodiscard]] runtime::result<typed_section, std::vector<document_error>>
parse_section(const ini_section& section);

} // namespace tamarackhoist::document

#endif
