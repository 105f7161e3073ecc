#include <tamarackhoist/node/node_settings.hpp>

#include "settings_reader.hpp"

namespace tamarackhoist::node
{

using document::document_error;
using document::section_reader;

namespace
{

constexpr std::uint64_t max_threads = 64;
constexpr std::uint64_t max_expected_nodes = 10'000;
constexpr std::uint64_t max_reads_per_second = 1'000'000;

void read_node(section_reader& reader, node_settings& settings)
{
    settings.name = reader.required_text("id");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.region = reader.required_text("region");
    settings.threads = static_cast<std::uint32_t>(
        reader.optional_number("threads", 1, max_threads, settings.threads));
    settings.balancer_lag =
        reader.optional_duration("balancer_lag", settings.balancer_lag);
}

void read_addresses(section_reader& reader, node_settings& settings)
{
    settings.callers = read_endpoint(reader, "callers");
    settings.peers = read_endpoint(reader, "peers");
    settings.operators = read_endpoint(reader, "operators");
}

void read_platform(section_reader& reader, node_settings& settings)
{
    settings.platform = read_endpoint(reader, "address");
    settings.document_values = reader.required_list("document_values");
    settings.service_reads_per_second = static_cast<std::uint32_t>(
        reader.optional_number("reads_per_second", 1, max_reads_per_second,
                               settings.service_reads_per_second));
}

void read_peers(section_reader& reader, node_settings& settings)
{
    settings.expected_nodes = static_cast<std::uint32_t>(reader.optional_number(
        "expected_nodes", 1, max_expected_nodes, settings.expected_nodes));
    settings.seeds = read_endpoints(reader, "seeds");
}

} // namespace

runtime::result<node_settings, std::vector<document_error>>
node_settings::parse(std::string_view text)
{
    node_settings settings;
    const auto errors = read_settings(text,
                                      {{"node",
                                        [&](section_reader& reader) {
                                            read_node(reader, settings);
                                        }},
                                       {"addresses",
                                        [&](section_reader& reader) {
                                            read_addresses(reader, settings);
                                        }},
                                       {"platform",
                                        [&](section_reader& reader) {
                                            read_platform(reader, settings);
                                        }}},
                                      {{"peers", [&](section_reader& reader) {
                                            read_peers(reader, settings);
                                        }}});
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace tamarackhoist::node
