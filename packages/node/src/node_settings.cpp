#include <tamarackhoist/node/node_settings.hpp>

#include <set>
#include <tamarackhoist/document/section_reader.hpp>

namespace tamarackhoist::node
{

using document::document_error;
using document::ini_section;
using document::section_reader;

namespace
{

constexpr std::uint64_t max_threads = 64;
constexpr std::uint64_t max_nodes = 10'000;
constexpr std::uint64_t max_reads = 1'000'000;

transport::endpoint read_endpoint(section_reader& reader, std::string_view key)
{
    const auto text = reader.required_text(key);
    const auto parsed = transport::endpoint::parse(text);
    if (!parsed) {
        if (!text.empty()) {
            reader.fail(key, "\"" + text +
                                 "\" is not of the form "
                                 "ADDRESS:PORT");
        }
        return {};
    }
    return *parsed;
}

void append(std::vector<document_error>& errors,
            const std::vector<document_error>& added)
{
    errors.insert(errors.end(), added.begin(), added.end());
}

void read_node(const ini_section& section, node_settings& settings,
               std::vector<document_error>& errors)
{
    section_reader reader(section);
    settings.name = reader.required_text("id");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.region = reader.required_text("region");
    settings.threads = static_cast<std::uint32_t>(
        reader.optional_number("threads", 1, max_threads, settings.threads));
    if (section.find("balancer_lag") != nullptr) {
        settings.balancer_lag = reader.required_duration("balancer_lag");
    }
    append(errors, reader.finish());
}

void read_addresses(const ini_section& section, node_settings& settings,
                    std::vector<document_error>& errors)
{
    section_reader reader(section);
    settings.callers = read_endpoint(reader, "callers");
    settings.peers = read_endpoint(reader, "peers");
    settings.operators = read_endpoint(reader, "operators");
    append(errors, reader.finish());
}

void read_platform(const ini_section& section, node_settings& settings,
                   std::vector<document_error>& errors)
{
    section_reader reader(section);
    settings.platform = read_endpoint(reader, "address");
    settings.document_values = reader.required_list("document_values");
    settings.service_reads_per_second = static_cast<std::uint32_t>(
        reader.optional_number("reads_per_second", 1, max_reads,
                               settings.service_reads_per_second));
    append(errors, reader.finish());
}

void read_peers(const ini_section& section, node_settings& settings,
                std::vector<document_error>& errors)
{
    section_reader reader(section);
    settings.expected_nodes = static_cast<std::uint32_t>(reader.optional_number(
        "expected_nodes", 1, max_nodes, settings.expected_nodes));
    const auto seeds = reader.optional_text("seeds");
    if (!seeds.empty()) {
        for (const auto& text : document::split_list(seeds)) {
            const auto seed = transport::endpoint::parse(text);
            if (!seed) {
                reader.fail("seeds", "\"" + text +
                                         "\" is not of the form "
                                         "ADDRESS:PORT");
                continue;
            }
            settings.seeds.push_back(*seed);
        }
    }
    append(errors, reader.finish());
}

} // namespace

runtime::result<node_settings, std::vector<document_error>>
node_settings::parse(std::string_view text)
{
    node_settings settings;
    std::vector<document_error> errors;
    std::set<std::string> present;
    for (const auto& section : document::read_ini(text)) {
        if (!present.insert(section.title).second) {
            errors.push_back({section.title,
                              {},
                              section.line,
                              "the section is given twice"});
            continue;
        }
        if (section.title == "node") {
            read_node(section, settings, errors);
        } else if (section.title == "addresses") {
            read_addresses(section, settings, errors);
        } else if (section.title == "platform") {
            read_platform(section, settings, errors);
        } else if (section.title == "peers") {
            read_peers(section, settings, errors);
        } else {
            append(errors, section.errors);
            errors.push_back(
                {section.title, {}, section.line, "the section is not known"});
        }
    }
    for (const auto* required : {"node", "addresses", "platform"}) {
        if (!present.contains(required)) {
            errors.push_back({required, {}, 1, "the section is missing"});
        }
    }
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace tamarackhoist::node
