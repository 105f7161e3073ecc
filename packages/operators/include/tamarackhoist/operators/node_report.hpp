#ifndef TAMARACKHOIST_OPERATORS_NODE_REPORT_HPP
#define TAMARACKHOIST_OPERATORS_NODE_REPORT_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <vector>

/// Tools for operators: status reports, the audit trail, metrics and logs of
/// nodes.
namespace tamarackhoist::operators
{

/// A member of the fleet as seen by the node.
struct member_report {
    std::string name;
    std::string state;
    std::string failure_domain;
    std::string address;
    std::uint64_t incarnation = 0;
};

/// An upstream that the node owns.
struct upstream_report {
    std::string name;
    std::string failure_domain;
    std::string state;
    /// Requests that wait in the queue.
    std::uint64_t queued = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t limit = 0;
    std::uint64_t connections = 0;
    std::uint64_t version = 0;
};

/// A section of the document.
struct section_report {
    std::string title;
    std::uint64_t revision = 0;
    /// First error of a refused newer revision; empty when there is none.
    std::string fault;
};

/// Number of requests of a priority class by outcome.
struct class_report {
    std::string name;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t not_run = 0;
    std::uint64_t failed = 0;
};

/// Snapshot of the state of one node.
struct node_report {
    std::string name;
    std::string failure_domain;
    bool is_ready = false;
    /// Whether a peer or the platform has confirmed the document.
    bool is_confirmed = false;
    std::uint64_t document_revision = 0;
    std::uint64_t document_hash = 0;
    std::vector<member_report> members;
    std::vector<upstream_report> owned_upstreams;
    std::vector<section_report> sections;
    std::vector<class_report> classes;
};

/// Encodes a report as a JSON object.
[[nodiscard]] std::string encode_report(const node_report& report);
/// Decodes a report; returns an error message when it is malformed.
[[nodiscard]] runtime::result<node_report, std::string>
decode_report(std::string_view text);

/// Encodes audit entries as a JSON object.
[[nodiscard]] std::string
encode_audit(std::span<const runtime::audit_entry> entries);

/// An audit entry decoded from the reply of a node.
struct audit_line {
    /// Milliseconds since the Unix epoch.
    std::int64_t at_ms = 0;
    std::string kind;
    std::string subject;
    std::string owner;
    std::uint64_t old_revision = 0;
    std::uint64_t new_revision = 0;
    std::string detail;
};
/// Decodes audit entries; returns an error message when they are malformed.
[[nodiscard]] runtime::result<std::vector<audit_line>, std::string>
decode_audit(std::string_view text);

// Paths of the HTTP endpoints of a node.
constexpr auto status_path = "/v1/status";
constexpr auto audit_path = "/v1/audit";
constexpr auto explain_path = "/v1/explain";
constexpr auto metrics_path = "/metrics";

} // namespace tamarackhoist::operators

#endif
