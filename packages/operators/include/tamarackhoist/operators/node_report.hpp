#ifndef TAMARACKHOIST_OPERATORS_NODE_REPORT_HPP
#define TAMARACKHOIST_OPERATORS_NODE_REPORT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <vector>

/// What a node shows to operators, and its JSON form.
namespace tamarackhoist::operators
{

struct member_report {
    std::string name;
    std::string state;
    std::string failure_domain;
    std::string address;
    std::uint64_t incarnation = 0;
};

struct upstream_report {
    std::string name;
    std::string failure_domain;
    std::string state;
    std::uint64_t queued = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t limit = 0;
    std::uint64_t connections = 0;
    std::uint64_t version = 0;
};

struct section_report {
    std::string title;
    std::uint64_t revision = 0;
    /// First fault of a refused newer revision; empty when there is none.
    std::string fault;
};

struct class_report {
    std::string name;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t not_run = 0;
    std::uint64_t failed = 0;
};

/// State of one node at one moment.
struct node_report {
    std::string name;
    std::string failure_domain;
    bool is_ready = false;
    /// Whether the document was confirmed by a peer or by the platform.
    bool is_confirmed = false;
    std::uint64_t document_revision = 0;
    std::uint64_t document_hash = 0;
    std::vector<member_report> members;
    std::vector<upstream_report> owned_upstreams;
    std::vector<section_report> sections;
    std::vector<class_report> classes;
};

[[nodiscard]] std::string encode_report(const node_report& report);
[[nodiscard]] runtime::result<node_report, std::string>
decode_report(std::string_view text);

[[nodiscard]] std::string
encode_audit(std::span<const runtime::audit_entry> entries);

/// An audit entry as read from a node, with times in milliseconds since the
/// epoch.
struct audit_line {
    std::int64_t at_ms = 0;
    std::string kind;
    std::string subject;
    std::string owner;
    std::uint64_t old_revision = 0;
    std::uint64_t new_revision = 0;
    std::string detail;
};
[[nodiscard]] runtime::result<std::vector<audit_line>, std::string>
decode_audit(std::string_view text);

constexpr auto status_path = "/v1/status";
constexpr auto audit_path = "/v1/audit";
constexpr auto explain_path = "/v1/explain";
constexpr auto metrics_path = "/metrics";

} // namespace tamarackhoist::operators

#endif
