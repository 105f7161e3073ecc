#include <string>
#include <tamarackhoist/operators/request_story.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using operators::log_entry;

namespace
{

std::string log_line(const std::string& time, const std::string& node,
                     const std::string& event, const std::string& members)
{
    return R"({"time":"2026-12-04T10:00:)" + time +
           R"(","level":"INFO","node":")" + node + R"(","event":")" + event +
           R"(","name":"n")" + members + "}";
}

operators::request_story build_story(const std::vector<std::string>& texts,
                                     std::string_view request)
{
    const std::vector<std::string_view> lines(texts.begin(), texts.end());
    return operators::build_request_story(lines, request);
}

void a_line_is_parsed_with_all_members()
{
    const auto entry = log_entry::parse(
        "12.3 front-a | " +
        log_line("09.250", "a", "E206",
                 R"(,"request":"r","attempts":2,"result":"no answer yet")"));
    cr_assert(entry.has_value());
    cr_assert(entry->event == runtime::event_number::shard_missing);
    cr_assert(entry->since_epoch == std::chrono::milliseconds(1796378409250));
    cr_assert(entry->member("attempts") == "2");
    cr_assert(entry->member("result") == "no answer yet");
    cr_assert(!entry->member("level"));
}

/// Log collectors may truncate lines, and other programs may write lines
/// between them.
void malformed_lines_are_skipped()
{
    const auto complete_line =
        log_line("09.250", "a", "E202", R"(,"request":"r")");
    for (std::size_t size = 0; size < complete_line.size(); ++size) {
        cr_assert(!log_entry::parse(complete_line.substr(0, size)));
    }
    cr_assert(!log_entry::parse("plain text"));
    cr_assert(!log_entry::parse(R"({"time":"soon","event":"E202"})"));
    cr_assert(!log_entry::parse(log_line("09.250", "a", "202", "")));
}

/// The story of a partial answer contains the attempts at the missing shard and
/// the state changes of its upstreams, but nothing of other requests and nodes.
void a_partial_answer_is_explained()
{
    const auto story = build_story(
        {log_line(
             "09.040", "a", "E206",
             R"(,"request":"r","service":"s","attempts":2,"upstream":"u2",)"
             R"("result":"no answer yet","ready_upstreams":2)"),
         log_line("09.020", "a", "E203",
                  R"(,"request":"r","decision":"hedged","service":"s",)"
                  R"("previous":"u1","chosen":"u2")"),
         log_line("09.030", "a", "E203", R"(,"request":"other","service":"s")"),
         log_line(
             "09.040", "a", "E202",
             R"(,"request":"r","outcome":"partial","answered":19,)"
             R"("shards":20,"attempts":21,"hedges":1,"retries":0,)"
             R"("denied_by_budget":0,"elapsed_ms":41.1,"deadline_ms":1000)"),
         log_line("00.000", "a", "E302", R"(,"upstream":"u1","service":"s")"),
         log_line("00.000", "b", "E302", R"(,"upstream":"u1","service":"s")"),
         log_line("00.000", "a", "E302", R"(,"upstream":"v","service":"t")"),
         log_line("01.000", "a", "E510", R"(,"reason":"long ago")"),
         log_line("08.000", "a", "E510", R"(,"reason":"timed out")"),
         log_line("09.900", "a", "E512", R"(,"revision":7)")},
        "r");
    cr_assert_eq(story.steps.size(), 3U);
    cr_assert(story.steps.front().member("decision") == "hedged");
    cr_assert_eq(story.circumstances.size(), 2U);
    cr_assert(story.circumstances.front().member("upstream") == "u1");
    cr_assert(story.circumstances.back().member("reason") == "timed out");
    const std::vector<std::string> expected{
        "shard s is missing: 2 attempts, the last at u2 (no answer yet), 2 "
        "ready upstreams",
        "partial on a after 41.1 ms of 1000 ms: 19 of 20 shards answered, 21 "
        "attempts, 1 hedges, 0 retries, 0 denied by the budget"};
    cr_assert(story.conclusions == expected);
}

/// The story of a refusal states its reason and includes suppressed log lines.
void a_refusal_is_explained()
{
    const auto story = build_story(
        {log_line("09.000", "a", "E205",
                  R"(,"request":"r","reason":"no configuration is known yet")"),
         log_line("08.500", "a", "E207", R"(,"of_event":206,"lines":12)")},
        "r");
    cr_assert_eq(story.conclusions.size(), 1U);
    cr_assert_eq(story.conclusions.front(),
                 "refused on a: no configuration is known yet");
    cr_assert_eq(story.circumstances.size(), 1U);
}

void an_unknown_request_has_an_empty_story()
{
    const auto story = build_story(
        {log_line("09.000", "a", "E202", R"(,"request":"r")")}, "q");
    cr_assert(story.steps.empty());
    cr_assert(story.conclusions.empty());
}

} // namespace

Test(log_entry, all_members)
{
    a_line_is_parsed_with_all_members();
}
Test(log_entry, malformed)
{
    malformed_lines_are_skipped();
}
Test(request_story, partial)
{
    a_partial_answer_is_explained();
}
Test(request_story, refusal)
{
    a_refusal_is_explained();
}
Test(request_story, unknown)
{
    an_unknown_request_has_an_empty_story();
}
