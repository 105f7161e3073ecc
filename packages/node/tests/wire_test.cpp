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

void queries_are_checked()
{
    const auto good = callers::decode_query(
        make_request(R"({"index":"bench","ranges":[[0,5],[3,9]]})"));
    cr_assert(good.has_value());
    cr_assert_eq(good.value().ranges.size(), 9U);
    for (const auto* bad :
         {"", "[]", "{}", R"({"index":1})", R"({"index":"b","ranges":[]})",
          R"({"index":"b","ranges":[[5,5]]})",
          R"({"index":"b","ranges":[[0,4294967297]]})",
          R"({"index":"b","ranges":[[-1,5]]})"}) {
        cr_assert(!callers::decode_query(make_request(bad)), "%s", bad);
    }
    auto no_caller = make_request(R"({"index":"bench"})");
    no_caller.erase("Caller");
    cr_assert(callers::decode_query(no_caller).error().find("Caller") !=
              std::string::npos);
    auto bad_deadline = make_request(R"({"index":"bench"})");
    bad_deadline.set("Deadline-Ms", "soon");
    cr_assert(!callers::decode_query(bad_deadline));
}

void answers_state_their_coverage()
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

void platform_answers_are_checked()
{
    const std::string good =
        R"({"key":"document","revision":3,"value":"[team t]"})";
    cr_assert_eq(platform::decode_value(good).value().revision, 3U);
    for (std::size_t length = 0; length < good.size(); ++length) {
        cr_assert(!platform::decode_value(good.substr(0, length)));
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

void upstream_replies_are_checked()
{
    policy::sub_request request;
    request.range = {0, 10};
    auto reply = transport::make_json(http::status::ok,
                                      R"({"items":[{"key":1,"value":"x"}]})");
    // Without its headers a reply says neither version nor coverage.
    cr_assert(upstreams::decode_reply(request, reply).outcome ==
              policy::upstream_outcome::broken);
    reply.set(upstreams::header::version, "4");
    reply.set(upstreams::header::covered, "0-5,7-9");
    const auto good = upstreams::decode_reply(request, reply);
    cr_assert(good.outcome == policy::upstream_outcome::answered);
    cr_assert_eq(good.covered.size(), 7U);
    // A shed counts as not run only where the upstream says so.
    auto shed = transport::make_json(http::status::service_unavailable, "{}");
    cr_assert(upstreams::decode_reply(request, shed).outcome ==
              policy::upstream_outcome::broken);
    shed.set(upstreams::header::not_run, "1");
    cr_assert(upstreams::decode_reply(request, shed).outcome ==
              policy::upstream_outcome::shed);
}

void settings_faults_name_section_and_key()
{
    const std::string good =
        "[node]\nid = n\nfailure_domain = d\nregion = r\n"
        "[addresses]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
        "operators = 127.0.0.1:3\n"
        "[platform]\naddress = 127.0.0.1:4\ndocument_values = document\n";
    cr_assert(node::node_settings::parse(good).has_value());
    const auto errors =
        node::node_settings::parse(good + "[peers]\nseeds = host\ncolor = 1\n")
            .error();
    cr_assert_eq(errors.size(), 2U);
    cr_assert_eq(errors.front().to_text(),
                 "line 13: section \"peers\", key \"seeds\": "
                 "\"host\" is not of the form ADDRESS:PORT");
    cr_assert(!node::node_settings::parse("[node]\nid = n\n"));
}

void reports_survive_the_wire()
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

void metrics_have_the_exposition_format()
{
    operators::metrics measured;
    measured.count({"requests_total", "class=\"c\""}, 2);
    for (int sample = 0; sample < 100; ++sample) {
        measured.observe({"seconds", {}}, std::chrono::milliseconds(10));
    }
    const auto text = measured.render();
    for (const auto* line :
         {"# TYPE requests_total counter\n", "requests_total{class=\"c\"} 2\n",
          "# TYPE seconds summary\n", "seconds_count 100\n"}) {
        cr_assert(text.find(line) != std::string::npos, "%s", line);
    }
}

void the_catalogue_of_events_is_complete()
{
    std::ifstream file(std::string(TAMARACKHOIST_SOURCE_DIR) +
                       "/docs/EVENTS.md");
    std::ostringstream text;
    text << file.rdbuf();
    const auto page = text.str();
    std::size_t rows = 0;
    for (const auto& event : runtime::event_catalogue()) {
        const auto row = "| E" +
                         std::to_string(static_cast<int>(event.number)) +
                         " | " + std::string(event.name) + " |";
        cr_assert(page.find(row) != std::string::npos, "%s", row.c_str());
        ++rows;
    }
    std::size_t written = 0;
    for (auto at = page.find("| E"); at != std::string::npos;
         at = page.find("| E", at + 1)) {
        ++written;
    }
    cr_assert_eq(rows, written, "the page lists events that do not exist");
}

void the_audit_trail_is_bounded()
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

void snapshot_readers_see_whole_values()
{
    struct pair {
        int left = 0;
        int right = 0;
    };
    runtime::snapshot<pair> cell(std::make_shared<const pair>());
    std::atomic<bool> is_torn{false};
    {
        std::vector<std::jthread> readers;
        for (int reader = 0; reader < 3; ++reader) {
            readers.emplace_back([&] {
                for (int read = 0; read < 20'000; ++read) {
                    const auto& value = cell.read();
                    is_torn = is_torn || value->left != value->right;
                }
            });
        }
        for (int number = 1; number < 2000; ++number) {
            cell.publish(std::make_shared<const pair>(pair{number, number}));
        }
    }
    cr_assert(!is_torn);
    cr_assert_eq(cell.read()->left, 1999);
}

} // namespace

Test(caller_wire, queries)
{
    queries_are_checked();
}
Test(caller_wire, answers)
{
    answers_state_their_coverage();
}
Test(platform_wire, checked)
{
    platform_answers_are_checked();
}
Test(upstream_wire, checked)
{
    upstream_replies_are_checked();
}
Test(node_settings, faults)
{
    settings_faults_name_section_and_key();
}
Test(node_report, wire)
{
    reports_survive_the_wire();
}
Test(metrics, format)
{
    metrics_have_the_exposition_format();
}
Test(events, catalogue)
{
    the_catalogue_of_events_is_complete();
}
Test(audit_trail, bound)
{
    the_audit_trail_is_bounded();
}
Test(snapshot, whole)
{
    snapshot_readers_see_whole_values();
}
