#include <algorithm>
#include <fstream>
#include <sstream>
#include <tamarackhoist/callers/caller_wire.hpp>
#include <tamarackhoist/node/node_settings.hpp>
#include <tamarackhoist/operators/metrics.hpp>
#include <tamarackhoist/operators/node_report.hpp>
#include <tamarackhoist/platform/platform_wire.hpp>
#include <tamarackhoist/runtime/audit_trail.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/runtime/paused_clock.hpp>
#include <tamarackhoist/runtime/snapshot.hpp>
#include <tamarackhoist/upstreams/upstream_wire.hpp>
#include <thread>

#include <criterion/criterion.h>

using namespace tamarackhoist;
namespace http = boost::beast::http;

namespace
{

transport::http_request make_request(const std::string& body)
{
    transport::http_request request(http::verb::post, "/", 11);
    request.set("Caller", "bench-app");
    request.body() = body;
    return request;
}

void decode_query_rejects_invalid_requests()
{
    const auto valid = callers::decode_query(
        make_request(R"({"index":"bench","ranges":[[0,5],[3,9]]})"));
    cr_assert(valid.has_value());
    cr_assert_eq(valid.value().ranges.size(), 9U);
    for (const auto* invalid_body :
         {"", "[]", "{}", R"({"index":1})", R"({"index":"b","ranges":[]})",
          R"({"index":"b","ranges":[[5,5]]})",
          R"({"index":"b","ranges":[[0,4294967297]]})",
          R"({"index":"b","ranges":[[-1,5]]})"}) {
        cr_assert(!callers::decode_query(make_request(invalid_body)), "%s",
                  invalid_body);
    }
    auto without_caller = make_request(R"({"index":"bench"})");
    without_caller.erase("Caller");
    cr_assert(callers::decode_query(without_caller).error().find("Caller") !=
              std::string::npos);
    auto with_invalid_deadline = make_request(R"({"index":"bench"})");
    with_invalid_deadline.set("Deadline-Ms", "soon");
    cr_assert(!callers::decode_query(with_invalid_deadline));
}

void encoded_answer_reports_coverage()
{
    policy::query_answer answer;
    answer.status = policy::query_status::partial;
    answer.version = 7;
    answer.answered.add({0, 10});
    answer.missing.push_back({{10, 20}, policy::missing_reason::deadline});
    answer.items.push_back({3, R"({"tension":24})"});
    const auto response = callers::encode_answer({"c", "r1", {}}, answer);
    cr_assert_eq(response.result_int(), 200U);
    for (const auto* part :
         {R"("answered":[[0,10]])", R"("reason":"deadline")",
          R"("index_version":7)", R"("value":{"tension":24})"}) {
        cr_assert(response.body().find(part) != std::string::npos, "%s", part);
    }
}

void platform_decoders_reject_invalid_responses()
{
    const std::string valid =
        R"({"key":"document","revision":3,"value":"[team t]"})";
    cr_assert_eq(platform::decode_value(valid).value().revision, 3U);
    for (std::size_t length = 0; length < valid.size(); ++length) {
        cr_assert(!platform::decode_value(valid.substr(0, length)));
    }
    const auto oversized = R"({"key":"k","revision":1,"value":")" +
                           std::string(platform::max_value_bytes + 1, 'x') +
                           "\"}";
    cr_assert(platform::decode_value(oversized).error().find("bytes") !=
              std::string::npos);
    cr_assert(!platform::decode_vm_list(R"({"vms":[{"name":"a"}]})"));
    const auto list = platform::decode_vm_list(
        R"({"vms":[{"name":"a","role":"upstream","state":"leaving",)"
        R"("address":"127.0.0.1","port":9}]})");
    cr_assert(list.value().front().state == platform::vm_state::leaving);
}

void decode_reply_requires_upstream_headers()
{
    policy::sub_request request;
    request.range = {0, 10};
    auto reply = transport::make_json(http::status::ok,
                                      R"({"items":[{"key":1,"value":"x"}]})");
    // A reply without these headers states neither its index version nor its
    // coverage, so it is unusable.
    cr_assert(upstreams::decode_reply(request, reply).outcome ==
              policy::upstream_outcome::broken);
    reply.set(upstreams::header::version, "4");
    reply.set(upstreams::header::covered, "0-5,7-9");
    const auto valid = upstreams::decode_reply(request, reply);
    cr_assert(valid.outcome == policy::upstream_outcome::answered);
    cr_assert_eq(valid.covered.size(), 7U);
    // An overload response counts as not run only if the upstream sets the
    // header that says so.
    auto overload_response =
        transport::make_json(http::status::service_unavailable, "{}");
    cr_assert(upstreams::decode_reply(request, overload_response).outcome ==
              policy::upstream_outcome::broken);
    overload_response.set(upstreams::header::not_run, "1");
    cr_assert(upstreams::decode_reply(request, overload_response).outcome ==
              policy::upstream_outcome::shed);
}

void settings_errors_name_section_and_key()
{
    const std::string valid =
        "[node]\nid = n\nfailure_domain = d\nregion = r\n"
        "[addresses]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
        "operators = 127.0.0.1:3\n"
        "[platform]\naddress = 127.0.0.1:4\ndocument_values = document\n";
    cr_assert(node::node_settings::parse(valid).has_value());
    const auto errors =
        node::node_settings::parse(valid + "[peers]\nseeds = host\ncolor = 1\n")
            .error();
    cr_assert_eq(errors.size(), 2U);
    cr_assert_eq(errors.front().to_text(),
                 "line 13: section \"peers\", key \"seeds\": "
                 "\"host\" is not of the form ADDRESS:PORT");
    cr_assert(!node::node_settings::parse("[node]\nid = n\n"));
}

void node_report_round_trips()
{
    operators::node_report report;
    report.name = "node1";
    report.is_ready = true;
    report.sections.push_back({"class c", 3, "line 2: wrong"});
    report.owned_upstreams.push_back({"u", "d", "serving", 1, 2, 3, 4, 5});
    const auto copy =
        operators::decode_report(operators::encode_report(report));
    cr_assert(copy.has_value());
    cr_assert_eq(copy.value().sections.front().fault, "line 2: wrong");
    cr_assert_eq(copy.value().owned_upstreams.front().limit, 3U);
    cr_assert(!operators::decode_report("{}"));
}

void metrics_use_the_exposition_format()
{
    operators::metrics registry;
    registry.count({"requests_total", "class=\"c\""}, 2);
    for (int sample = 0; sample < 100; ++sample) {
        registry.observe({"seconds", {}}, std::chrono::milliseconds(10));
    }
    const auto text = registry.render();
    for (const auto* line :
         {"# TYPE requests_total counter\n", "requests_total{class=\"c\"} 2\n",
          "# TYPE seconds summary\n", "seconds_count 100\n"}) {
        cr_assert(text.find(line) != std::string::npos, "%s", line);
    }
}

void events_page_matches_the_catalogue()
{
    std::ifstream file(std::string(TAMARACKHOIST_SOURCE_DIR) +
                       "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    const auto events_page = text.str();
    std::size_t catalogue_rows = 0;
    for (const auto& event : runtime::event_catalogue()) {
        const auto row = "| E" +
                         std::to_string(static_cast<int>(event.number)) +
                         " | " + std::string(event.name) + " |";
        cr_assert(events_page.find(row) != std::string::npos, "%s",
                  row.c_str());
        ++catalogue_rows;
    }
    std::size_t page_rows = 0;
    for (auto at = events_page.find("| E"); at != std::string::npos;
         at = events_page.find("| E", at + 1)) {
        ++page_rows;
    }
    cr_assert_eq(catalogue_rows, page_rows,
                 "docs/EVENTS.md lists events that do not exist");
}

void audit_trail_drops_its_oldest_entries()
{
    runtime::audit_trail trail(3);
    for (int number = 0; number < 5; ++number) {
        trail.record({{},
                      runtime::audit_kind::member_joined,
                      std::to_string(number),
                      {},
                      0,
                      0,
                      {}});
    }
    const auto kept = trail.entries();
    cr_assert_eq(kept.size(), 3U);
    cr_assert_eq(kept.front().subject, "2");
}

void snapshot_reads_are_atomic()
{
    struct pair {
        int left = 0;
        int right = 0;
    };
    runtime::snapshot<pair> snapshot(std::make_shared<const pair>());
    std::atomic<bool> is_torn{false};
    {
        std::vector<std::jthread> readers;
        for (int reader = 0; reader < 3; ++reader) {
            readers.emplace_back([&] {
                for (int read = 0; read < 20'000; ++read) {
                    const auto& value = snapshot.read();
                    is_torn = is_torn || value->left != value->right;
                }
            });
        }
        for (int number = 1; number < 2000; ++number) {
            snapshot.publish(
                std::make_shared<const pair>(pair{number, number}));
        }
    }
    cr_assert(!is_torn);
    cr_assert_eq(snapshot.read()->left, 1999);
}

} // namespace

Test(caller_wire, rejects_invalid_queries)
{
    decode_query_rejects_invalid_requests();
}
Test(caller_wire, answer_reports_coverage)
{
    encoded_answer_reports_coverage();
}
Test(platform_wire, rejects_invalid_responses)
{
    platform_decoders_reject_invalid_responses();
}
Test(upstream_wire, requires_upstream_headers)
{
    decode_reply_requires_upstream_headers();
}
Test(node_settings, errors_name_section_and_key)
{
    settings_errors_name_section_and_key();
}
Test(node_report, round_trips)
{
    node_report_round_trips();
}
Test(metrics, exposition_format)
{
    metrics_use_the_exposition_format();
}
Test(events, page_matches_catalogue)
{
    events_page_matches_the_catalogue();
}
Test(audit_trail, drops_oldest_entries)
{
    audit_trail_drops_its_oldest_entries();
}
Test(snapshot, atomic_reads)
{
    snapshot_reads_are_atomic();
}
