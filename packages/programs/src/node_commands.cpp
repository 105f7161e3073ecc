#include "command.hpp"
#include "command_output.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <set>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/transport/http_connection.hpp>

namespace tamarackhoist::programs
{

namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

constexpr unsigned http_1_1 = 11;
constexpr runtime::duration response_timeout = std::chrono::seconds(5);

/// HTTP response of one node; empty when no response arrived in time.
struct node_response {
    transport::endpoint node;
    std::optional<transport::http_response> response;
};

/// Sends the same request to all nodes in parallel and waits until each has
/// answered or timed out. The responses are in the order of `nodes`.
std::vector<node_response>
send_to_nodes(const std::vector<transport::endpoint>& nodes,
              const transport::http_request& request)
{
    boost::asio::io_context context;
    std::vector<node_response> responses;
    responses.reserve(nodes.size());
    for (const auto& node : nodes) {
        responses.push_back({node, std::nullopt});
        auto& answer = responses.back();
        transport::exchange_once(
            context.get_executor(), node, request, response_timeout,
            [&answer](transport::exchange_result result) {
                if (result.status == transport::exchange_status::answered) {
                    answer.response = std::move(result.response);
                }
            });
    }
    context.run();
    return responses;
}

transport::http_request make_get(const std::string& path)
{
    transport::http_request request(http::verb::get, path, http_1_1);
    request.set(http::field::host, "node");
    return request;
}

/// Prints `usage` to standard error and returns true when no node is given.
bool report_missing_nodes(const command_options& options, const char* usage)
{
    if (options.nodes.empty()) {
        std::cerr << "usage: " << usage << '\n';
        return true;
    }
    return false;
}

/// Reports to standard error the nodes without a valid answer.
void print_failed_nodes(const std::vector<transport::endpoint>& failed_nodes)
{
    for (const auto& node : failed_nodes) {
        std::cerr << "tamarackhoist: node " << node.to_text()
                  << " sent no valid answer\n";
    }
}

void print_status(const std::vector<operators::node_report>& reports)
{
    std::vector<table_row> rows{{"NODE", "DOMAIN", "READY", "CONFIRMED",
                                 "REVISION", "MEMBERS", "OWNED", "REFUSED"}};
    for (const auto& report : reports) {
        const auto live_members =
            std::ranges::count_if(report.members, [](const auto& member) {
                return member.state != "dead";
            });
        const auto refused_sections =
            std::ranges::count_if(report.sections, [](const auto& section) {
                return !section.fault.empty();
            });
        rows.push_back({report.name, report.failure_domain,
                        report.is_ready ? "yes" : "no",
                        report.is_confirmed ? "yes" : "no",
                        std::to_string(report.document_revision),
                        std::to_string(live_members),
                        std::to_string(report.owned_upstreams.size()),
                        std::to_string(refused_sections)});
    }
    print_table(rows);
    std::cout << '\n';
    rows = {{"NODE", "CLASS", "COMPLETE", "PARTIAL", "NOT_RUN", "FAILED"}};
    for (const auto& report : reports) {
        for (const auto& priority_class : report.classes) {
            rows.push_back({report.name, priority_class.name,
                            std::to_string(priority_class.complete),
                            std::to_string(priority_class.partial),
                            std::to_string(priority_class.not_run),
                            std::to_string(priority_class.failed)});
        }
    }
    print_table(rows);
    for (const auto& report : reports) {
        for (const auto& section : report.sections) {
            if (!section.fault.empty()) {
                std::cout << report.name << ": refused: " << section.fault
                          << '\n';
            }
        }
        for (const auto& upstream : report.owned_upstreams) {
            if (upstream.state != "serving") {
                std::cout << report.name << ": upstream " << upstream.name
                          << " is " << upstream.state << '\n';
            }
        }
    }
}

} // namespace

int show_status(const arguments& operands, const command_options& options)
{
    if (!operands.empty() ||
        report_missing_nodes(
            options, "tamarackhoist status --nodes ADDRESS:PORT[,...]")) {
        return exit_usage_error;
    }
    std::vector<operators::node_report> reports;
    std::vector<transport::endpoint> failed_nodes;
    json::array encoded_reports;
    for (const auto& answer :
         send_to_nodes(options.nodes, make_get(operators::status_path))) {
        if (!answer.response) {
            failed_nodes.push_back(answer.node);
            continue;
        }
        auto report = operators::decode_report(answer.response->body());
        if (!report) {
            std::cerr << "tamarackhoist: node " << answer.node.to_text() << ": "
                      << report.error() << '\n';
            failed_nodes.push_back(answer.node);
            continue;
        }
        encoded_reports.push_back(json::parse(answer.response->body()));
        reports.push_back(std::move(report).value());
    }
    if (options.json_output) {
        std::cout << json::serialize(encoded_reports) << '\n';
    } else {
        print_status(reports);
    }
    print_failed_nodes(failed_nodes);
    std::set<std::uint64_t> document_hashes;
    bool is_healthy = failed_nodes.empty();
    for (const auto& report : reports) {
        document_hashes.insert(report.document_hash);
        is_healthy = is_healthy && report.is_ready;
        for (const auto& section : report.sections) {
            is_healthy = is_healthy && section.fault.empty();
        }
    }
    return is_healthy && document_hashes.size() <= 1 ? exit_success
                                                     : exit_failure;
}

int show_audit(const arguments& operands, const command_options& options)
{
    if (operands.size() > 1 ||
        report_missing_nodes(options, "tamarackhoist audit [SUBJECT] "
                                      "--nodes ADDRESS:PORT[,...]")) {
        return exit_usage_error;
    }
    struct node_audit_line {
        /// ADDRESS:PORT of the node's operator port.
        std::string node;
        operators::audit_line line;
    };
    std::vector<node_audit_line> lines;
    std::vector<transport::endpoint> failed_nodes;
    for (const auto& answer :
         send_to_nodes(options.nodes, make_get(operators::audit_path))) {
        const auto decoded =
            answer.response
                ? operators::decode_audit(answer.response->body())
                : runtime::result<std::vector<operators::audit_line>,
                                  std::string>(std::string("silent"));
        if (!decoded) {
            failed_nodes.push_back(answer.node);
            continue;
        }
        for (const auto& line : decoded.value()) {
            if (operands.empty() || line.subject == operands.front()) {
                lines.push_back({answer.node.to_text(), line});
            }
        }
    }
    std::ranges::stable_sort(lines, {}, [](const node_audit_line& entry) {
        return entry.line.at_ms;
    });
    if (options.json_output) {
        json::array encoded;
        for (const auto& entry : lines) {
            encoded.push_back({{"at_ms", entry.line.at_ms},
                               {"node", entry.node},
                               {"kind", entry.line.kind},
                               {"subject", entry.line.subject},
                               {"owner", entry.line.owner},
                               {"old_revision", entry.line.old_revision},
                               {"new_revision", entry.line.new_revision},
                               {"detail", entry.line.detail}});
        }
        std::cout << json::serialize(encoded) << '\n';
    } else {
        std::vector<table_row> rows{{"TIME_MS", "NODE", "CHANGE", "SUBJECT",
                                     "OWNER", "OLD", "NEW", "DETAIL"}};
        for (const auto& entry : lines) {
            rows.push_back(
                {std::to_string(entry.line.at_ms), entry.node, entry.line.kind,
                 entry.line.subject, entry.line.owner,
                 std::to_string(entry.line.old_revision),
                 std::to_string(entry.line.new_revision), entry.line.detail});
        }
        print_table(rows);
    }
    print_failed_nodes(failed_nodes);
    return failed_nodes.empty() ? exit_success : exit_failure;
}

int explain_query(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1 ||
        report_missing_nodes(options, "tamarackhoist explain INDEX "
                                      "--nodes ADDRESS:PORT")) {
        return exit_usage_error;
    }
    const auto path =
        std::string(operators::explain_path) + "?index=" + operands.front();
    const auto responses =
        send_to_nodes({options.nodes.front()}, make_get(path));
    if (!responses.front().response) {
        print_failed_nodes({options.nodes.front()});
        return exit_failure;
    }
    const auto& body = responses.front().response->body();
    const auto parsed = json::parse(body);
    const auto& shards = parsed.at("shards").as_array();
    if (options.json_output) {
        std::cout << body << '\n';
    } else {
        std::vector<table_row> rows{
            {"SHARD", "UPSTREAM", "DOMAIN", "OWNER", "VERSION", "QUEUE_MS"}};
        for (const auto& shard : shards) {
            for (const auto& replica : shard.at("replicas").as_array()) {
                rows.push_back(
                    {std::string(shard.at("shard").as_string()),
                     std::string(replica.at("upstream").as_string()),
                     std::string(replica.at("failure_domain").as_string()),
                     std::string(replica.at("owner").as_string()),
                     json::serialize(replica.at("version")),
                     json::serialize(replica.at("queue_delay_ms"))});
            }
        }
        print_table(rows);
    }
    if (shards.empty()) {
        std::cerr << "tamarackhoist: index \"" << operands.front()
                  << "\" does not exist\n";
        return exit_failure;
    }
    return exit_success;
}

int run_query(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1 || options.caller.empty() ||
        report_missing_nodes(options, "tamarackhoist query INDEX --caller NAME "
                                      "--nodes ADDRESS:PORT (callers' port)")) {
        return exit_usage_error;
    }
    transport::http_request request(http::verb::post, callers::query_path,
                                    http_1_1);
    request.set(http::field::host, "node");
    request.set("Caller", options.caller);
    request.set("Request-Id", "operator");
    request.body() = json::serialize(json::object{{"index", operands.front()}});
    const auto responses = send_to_nodes({options.nodes.front()}, request);
    if (!responses.front().response) {
        print_failed_nodes({options.nodes.front()});
        return exit_failure;
    }
    std::cout << responses.front().response->body() << '\n';
    return responses.front().response->result() == http::status::ok
               ? exit_success
               : exit_failure;
}

} // namespace tamarackhoist::programs
