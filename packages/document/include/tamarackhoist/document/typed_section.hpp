#ifndef TAMARACKHOIST_DOCUMENT_TYPED_SECTION_HPP
#define TAMARACKHOIST_DOCUMENT_TYPED_SECTION_HPP

#include <string>
#include <tamarackhoist/document/ini_section.hpp>
#include <tamarackhoist/policy/deployment.hpp>
#include <variant>
#include <vector>

namespace tamarackhoist::document
{

/// `[team NAME]`.
struct team {
    std::string name;
};

/// `[failure_domain NAME]`.
struct failure_domain {
    std::string name;
    std::string region;
};

/// `[retry CLASS]`: limits on the retries and hedges of a priority class.
struct retry_policy {
    std::string class_name;
    std::uint32_t max_attempts = 1;
    bool may_hedge = false;
};

/// `[caller NAME]`, with its priority classes by name.
struct caller_section {
    std::string name;
    std::string query_class;
    /// The query class unless the document names another.
    std::string order_class;
};

/// `[shard NAME]`.
struct shard_section {
    policy::shard description;
    /// Names of the replicas as written in the document, for error messages.
    std::vector<std::string> replicas;
};

using section_content =
    std::variant<team, failure_domain, policy::priority_class, retry_policy,
                 policy::service, shard_section, policy::upstream,
                 caller_section>;

/// A parsed section without errors of its own. Its references to other
/// sections are not checked yet.
struct typed_section {
    std::string title;
    /// Name of the team that owns the section; a team owns itself.
    std::string owner;
    /// Line number of the title.
    std::size_t line = 0;
    section_content content;
};

/// Parses a section; returns its content or all errors found in it.
[[nodiscard]] runtime::result<typed_section, std::vector<document_error>>
parse_section(const ini_section& section);

} // namespace tamarackhoist::document

#endif
