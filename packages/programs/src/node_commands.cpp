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
constexpr runtime::duration answer_timeout = std::chrono::seconds(5);

/// Answer of one node; no body when the node did not answer.
struct node_answer {
    transport::endpoint node;
    std::optional<transport::http_response> response;
};

/// Sends the same request to every node at once.
std::vector<node_answer> ask(const std::vector<transport::endpoint>& nodes,
                             const transport::http_request& request)
{
    boost::asio::io_context context;
    std::vector<node_answer> answers;
    answers.reserve(nodes.size());
    for (const auto& node : nodes) {
        answers.push_back({node, std::nullopt});
        auto& answer = answers.back();
        transport::exchange_once(
            context.get_executor(), node, request, answer_timeout,
            [&answer](transport::exchange_result result) {
                if (result.status == transport::exchange_status::answered) {
                    answer.response = std::move(result.response);
                }
            });
    }
    context.run();
    return answers;
}

transport::http_request make_get(const std::string& path)
{
    transport::http_request request(http::verb::get, path, http_1_1);
    request.set(http::field::host, "node");
    return request;
}

bool needs_nodes(const command_options& options, const char* usage)
{
    if (options.nodes.empty()) {
        std::cerr << "usage: " << usage << '\n';
        return true;
    }
    return false;
}

void print_silent(const std::vector<transport::endpoint>& silent)
{
    for (const auto& node : silent) {
        std::cerr << "tamarackhoist: node " << node.to_text()
                  << " does not answer\n";
    }
}

void print_status(const std::vector<operators::node_report>& reports)
{
    std::vector<table_row> rows{{"NODE", "DOMAIN", "READY", "CONFIRMED",
                                 "REVISION", "MEMBERS", "OWNED", "REFUSED"}};
    for (const auto& report : reports) {
        const auto live =
            std::ranges::count_if(report.members, [](const auto& each) {
                return each.state != "dead";
            });
        const auto refused =
            std::ranges::count_if(report.sections, [](const auto& each) {
                return !each.fault.empty();
            });
        rows.push_back(
            {report.name, report.failure_domain, report.is_ready ? "yes" : "no",
             report.is_confirmed ? "yes" : "no",
             std::to_string(report.document_revision), std::to_string(live),
             std::to_string(report.owned_upstreams.size()),
             std::to_string(refused)});
    }
    print_table(rows);
    std::cout << '\n';
    rows = {{"NODE", "CLASS", "COMPLETE", "PARTIAL", "NOT_RUN", "FAILED"}};
    for (const auto& report : reports) {
        for (const auto& each : report.classes) {
            rows.push_back(
                {report.name, each.name, std::to_string(each.complete),
                 std::to_string(each.partial), std::to_string(each.not_run),
                 std::to_string(each.failed)});
        }
    }
    print_table(rows);
    for (const auto& report : reports) {
        for (const auto& each : report.sections) {
            if (!each.fault.empty()) {
                std::cout << report.name << ": refused: " << each.fault << '\n';
            }
        }
        for (const auto& each : report.owned_upstreams) {
            if (each.state != "serving") {
                std::cout << report.name << ": upstream " << each.name << " is "
                          << each.state << '\n';
            }
        }
    }
}

} // namespace

int show_status(const arguments& operands, const command_options& options)
{
    if (!operands.empty() ||
        needs_nodes(options,
                    "tamarackhoist status --nodes ADDRESS:PORT[,...]")) {
        return exit_wrong_use;
    }
    std::vector<operators::node_report> reports;
    std::vector<transport::endpoint> silent;
    json::array raw;
    for (const auto& answer :
         ask(options.nodes, make_get(operators::status_path))) {
        if (!answer.response) {
            silent.push_back(answer.node);
            continue;
        }
        auto report = operators::decode_report(answer.response->body());
        if (!report) {
            std::cerr << "tamarackhoist: node " << answer.node.to_text() << ": "
                      << report.error() << '\n';
            silent.push_back(answer.node);
            continue;
        }
        raw.push_back(json::parse(answer.response->body()));
        reports.push_back(std::move(report).value());
    }
    if (options.wants_json) {
        std::cout << json::serialize(raw) << '\n';
    } else {
        print_status(reports);
    }
    print_silent(silent);
    std::set<std::uint64_t> hashes;
    bool is_good = silent.empty();
    for (const auto& report : reports) {
        hashes.insert(report.document_hash);
        is_good = is_good && report.is_ready;
        for (const auto& section : report.sections) {
            is_good = is_good && section.fault.empty();
        }
    }
    return is_good && hashes.size() <= 1 ? exit_good : exit_falls_short;
}

int show_audit(const arguments& operands, const command_options& options)
{
    if (operands.size() > 1 ||
        needs_nodes(options, "tamarackhoist audit [SUBJECT] "
                             "--nodes ADDRESS:PORT[,...]")) {
        return exit_wrong_use;
    }
    struct node_line {
        std::string node;
        operators::audit_line line;
    };
    std::vector<node_line> lines;
    std::vector<transport::endpoint> silent;
    for (const auto& answer :
         ask(options.nodes, make_get(operators::audit_path))) {
        const auto decoded =
            answer.response
                ? operators::decode_audit(answer.response->body())
                : runtime::result<std::vector<operators::audit_line>,
                                  std::string>(std::string("silent"));
        if (!decoded) {
            silent.push_back(answer.node);
            continue;
        }
        for (const auto& line : decoded.value()) {
            if (operands.empty() || line.subject == operands.front()) {
                lines.push_back({answer.node.to_text(), line});
            }
        }
    }
    std::ranges::stable_sort(
        lines, {}, [](const node_line& each) { return each.line.at_ms; });
    if (options.wants_json) {
        json::array encoded;
        for (const auto& each : lines) {
            encoded.push_back({{"at_ms", each.line.at_ms},
                               {"node", each.node},
                               {"kind", each.line.kind},
                               {"subject", each.line.subject},
                               {"owner", each.line.owner},
                               {"old_revision", each.line.old_revision},
                               {"new_revision", each.line.new_revision},
                               {"detail", each.line.detail}});
        }
        std::cout << json::serialize(encoded) << '\n';
    } else {
        std::vector<table_row> rows{{"TIME_MS", "NODE", "CHANGE", "SUBJECT",
                                     "OWNER", "OLD", "NEW", "DETAIL"}};
        for (const auto& each : lines) {
            rows.push_back({std::to_string(each.line.at_ms), each.node,
                            each.line.kind, each.line.subject, each.line.owner,
                            std::to_string(each.line.old_revision),
                            std::to_string(each.line.new_revision),
                            each.line.detail});
        }
        print_table(rows);
    }
    print_silent(silent);
    return silent.empty() ? exit_good : exit_falls_short;
}

int explain_query(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1 ||
        needs_nodes(options, "tamarackhoist explain INDEX "
                             "--nodes ADDRESS:PORT")) {
        return exit_wrong_use;
    }
    const auto path =
        std::string(operators::explain_path) + "?index=" + operands.front();
    const auto answers = ask({options.nodes.front()}, make_get(path));
    if (!answers.front().response) {
        print_silent({options.nodes.front()});
        return exit_falls_short;
    }
    const auto& body = answers.front().response->body();
    const auto parsed = json::parse(body);
    const auto& shards = parsed.at("shards").as_array();
    if (options.wants_json) {
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
        return exit_falls_short;
    }
    return exit_good;
}

int run_query(const arguments& operands, const command_options& options)
{
    if (operands.size() != 1 || options.caller.empty() ||
        needs_nodes(options, "tamarackhoist query INDEX --caller NAME "
                             "--nodes ADDRESS:PORT (callers' port)")) {
        return exit_wrong_use;
    }
    transport::http_request request(http::verb::post, callers::query_path,
                                    http_1_1);
    request.set(http::field::host, "node");
    request.set("Caller", options.caller);
    request.set("Request-Id", "operator");
    request.body() = json::serialize(json::object{{"index", operands.front()}});
    const auto answers = ask({options.nodes.front()}, request);
    if (!answers.front().response) {
        print_silent({options.nodes.front()});
        return exit_falls_short;
    }
    std::cout << answers.front().response->body() << '\n';
    return answers.front().response->result() == http::status::ok
               ? exit_good
               : exit_falls_short;
}

} // namespace tamarackhoist::programs
