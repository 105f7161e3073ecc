#include <algorithm>
#include <fstream>
#include <map>
#include <rapidcheck.h>
#include <sstream>
#include <tamarackhoist/document/document_state.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using document::document_state;

namespace
{

constexpr auto source = "document";

std::string read_example(const std::string& name)
{
    std::ifstream file(std::string(TAMARACKHOIST_SOURCE_DIR) + "/examples/" +
                       name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string small_document()
{
    return "[team t]\n"
           "[failure_domain d]\nowner = t\nregion = r\n"
           "[class c]\nowner = t\nrank = 0\ndeadline = 250ms\n"
           "[service s]\nowner = t\nkind = query\n"
           "[shard a]\nowner = t\nservice = s\nindex = i\n"
           "range = 0x0-0x80000000\nreplicas = u\n"
           "[shard b]\nowner = t\nservice = s\nindex = i\n"
           "range = 0x80000000-0x100000000\nreplicas = u\n"
           "[upstream u]\nowner = t\nservice = s\naddress = 127.0.0.1\n"
           "port = 1\nfailure_domain = d\nslots = 2\nconnections = 25\n"
           "[caller k]\nowner = t\nquery_class = c\n";
}

std::string replace_first(std::string text, const std::string& from,
                          const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

void examples_are_accepted_with_expected_sizes()
{
    for (const auto* name : {"gwynedd.ini", "tartbudet.ini"}) {
        document_state state;
        for (const auto& change : state.apply(source, read_example(name), 1)) {
            cr_assert(change.errors.empty(), "%s",
                      change.errors.front().to_text().c_str());
        }
        const auto deployment = state.effective();
        cr_assert(deployment != nullptr);
        const bool is_gwynedd = name == std::string("gwynedd.ini");
        cr_assert_eq(deployment->upstreams().size(), is_gwynedd ? 108U : 109U);
        cr_assert_eq(deployment->classes().size(), 3U);
    }
}

/// Applies an invalid edit to the small document, and checks that the error is
/// reported in the right section and that the previous revision stays in force.
void expect_error(const std::string& from, const std::string& to,
                  const std::string& section, const std::string& message)
{
    document_state state;
    (void)state.apply(source, small_document(), 1);
    const auto before = state.digest();
    const auto changes =
        state.apply(source, replace_first(small_document(), from, to), 2);
    const auto is_reported = [&](const document::section_change& change) {
        return std::ranges::any_of(
            change.errors, [&](const document::document_error& error) {
                return error.section == section && error.line > 0 &&
                       error.message.find(message) != std::string::npos;
            });
    };
    cr_assert(std::ranges::any_of(changes, is_reported),
              "no error \"%s\" in section \"%s\"", message.c_str(),
              section.c_str());
    cr_assert(state.digest() == before,
              "section \"%s\" did not keep its "
              "previous revision",
              section.c_str());
}

void every_error_is_reported_and_keeps_the_previous_revision()
{
    expect_error("slots = 2", "slotz = 2", "upstream u", "unknown key");
    expect_error("slots = 2", "slots = 0", "upstream u", "not in the range");
    expect_error("slots = 2", "slots = 2\nslots = 3", "upstream u",
                 "duplicate key");
    expect_error("port = 1", "port = x", "upstream u", "whole number");
    expect_error("address = 127.0.0.1", "address = host", "upstream u",
                 "not an IP address");
    expect_error("failure_domain = d", "failure_domain = e", "upstream u",
                 "does not exist");
    expect_error("deadline = 250ms", "deadline = 250", "class c", "unit");
    expect_error("rank = 0", "rank", "class c", "key = value");
    expect_error("owner = t\nkind", "owner = nobody\nkind", "service s",
                 "does not exist");
    expect_error("owner = t\nkind", "kind", "service s", "missing");
    expect_error("range = 0x80000000", "range = 0x90000000", "shard b", "gap");
    expect_error("range = 0x80000000", "range = 0x70000000", "shard b",
                 "overlap");
    expect_error("[caller k]", "[class c]\nowner = t\n[caller k]", "class c",
                 "duplicate section");
    expect_error("[caller k]", "[color k]\nowner = t\n[caller k]", "color k",
                 "unknown section kind");
}

void an_invalid_section_does_not_block_another()
{
    document_state state;
    (void)state.apply(source, small_document(), 1);
    auto text = replace_first(small_document(), "slots = 2", "slots = many");
    text = replace_first(text, "deadline = 250ms", "deadline = 300ms");
    (void)state.apply(source, text, 2);
    cr_assert_eq(state.effective()->classes().front().deadline.count(),
                 300'000'000);
    cr_assert_eq(state.effective()->upstreams().front().slots, 2U);
    cr_assert_eq(state.refusals().size(), 1U);
    // The next valid edit clears the refusal.
    (void)state.apply(source, small_document(), 3);
    cr_assert(state.refusals().empty());
}

void a_section_in_use_cannot_be_removed()
{
    document_state state;
    (void)state.apply(source, small_document(), 1);
    const auto without_domain = replace_first(
        small_document(), "[failure_domain d]\nowner = t\nregion = r\n", "");
    const auto changes = state.apply(source, without_domain, 2);
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes.front().is_removed && !changes.front().errors.empty());
    cr_assert(state.effective()->upstreams().front().failure_domain == "d");
}

void an_older_revision_has_no_effect()
{
    document_state state;
    (void)state.apply(source, small_document(), 5);
    const auto edited =
        replace_first(small_document(), "deadline = 250ms", "deadline = 300ms");
    cr_assert(state.apply(source, edited, 5).empty());
    cr_assert(state.apply(source, edited, 4).empty());
    cr_assert_eq(state.effective()->classes().front().deadline.count(),
                 250'000'000);
}

/// One random event in a fleet that replicates the document.
struct replication_step {
    int kind = 0;
    std::size_t node = 0;
    std::size_t peer = 0;
    std::uint64_t revision = 0;
    int deadline_ms = 0;
};

void section_revisions_never_decrease()
{
    constexpr std::size_t node_count = 4;
    const auto property = [] {
        const auto steps = *rc::gen::container<std::vector<replication_step>>(
            rc::gen::build<replication_step>(
                rc::gen::set(&replication_step::kind, rc::gen::inRange(0, 4)),
                rc::gen::set(&replication_step::node,
                             rc::gen::inRange<std::size_t>(0, node_count)),
                rc::gen::set(&replication_step::peer,
                             rc::gen::inRange<std::size_t>(0, node_count)),
                rc::gen::set(&replication_step::revision,
                             rc::gen::inRange<std::uint64_t>(1, 20)),
                rc::gen::set(&replication_step::deadline_ms,
                             rc::gen::inRange(-3, 50))));
        // Document text at the configuration service by revision; a deadline
        // that is not positive makes the edit invalid.
        std::map<std::uint64_t, std::string> published;
        std::vector<document_state> nodes(node_count);
        std::vector<std::map<std::string, std::uint64_t>> highest_revisions(
            node_count);
        for (const auto& step : steps) {
            auto& node = nodes[step.node];
            switch (step.kind) {
            case 0:
                published.try_emplace(
                    step.revision,
                    replace_first(small_document(), "250ms",
                                  std::to_string(step.deadline_ms) + "ms"));
                break;
            case 1: // A read of any revision, possibly a stale one.
                if (published.contains(step.revision)) {
                    (void)node.apply(source, published[step.revision],
                                     step.revision);
                }
                break;
            case 2: // An exchange of records with a peer.
                (void)node.merge(nodes[step.peer].records());
                break;
            default: // A replacement node that starts without state.
                node = document_state();
                highest_revisions[step.node].clear();
                break;
            }
            for (const auto& record : node.records()) {
                auto& highest = highest_revisions[step.node][record.title];
                RC_ASSERT(record.revision >= highest);
                highest = record.revision;
            }
        }
        // After every pair has exchanged records, all nodes agree.
        for (int round = 0; round < 2; ++round) {
            for (auto& node : nodes) {
                for (const auto& peer : nodes) {
                    (void)node.merge(peer.records());
                }
            }
        }
        for (const auto& node : nodes) {
            RC_ASSERT(node.digest() == nodes.front().digest());
        }
    };
    cr_assert(rc::check("section revisions never decrease", property));
}

} // namespace

Test(document, examples)
{
    examples_are_accepted_with_expected_sizes();
}
Test(document, errors)
{
    every_error_is_reported_and_keeps_the_previous_revision();
}
Test(document, isolation)
{
    an_invalid_section_does_not_block_another();
}
Test(document, removal)
{
    a_section_in_use_cannot_be_removed();
}
Test(document, stale)
{
    an_older_revision_has_no_effect();
}
Test(document, monotonic_revisions)
{
    section_revisions_never_decrease();
}
