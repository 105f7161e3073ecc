#include <tamarackhoist/node/gateway_settings.hpp>

#include "settings_reader.hpp"

namespace tamarackhoist::node
{

using document::document_error;
using document::section_reader;

namespace
{

constexpr std::uint64_t max_nodes = 10'000;
constexpr double max_cores = 1024.0;
constexpr std::uint64_t min_memory_mb = 32;
constexpr std::uint64_t max_memory_mb = 1024 * 1024;
constexpr std::uint64_t default_memory_mb = 256;
constexpr std::uint64_t min_descriptors = 64;
constexpr std::uint64_t max_descriptors = 1'000'000;
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
constexpr std::uint64_t max_allowance = 1'000'000;

void read_node(section_reader& reader, gateway_settings& settings)
{
    settings.name = reader.required_text("id");
    settings.failure_domain = reader.required_text("failure_domain");
    settings.region = reader.optional_text("region");
    settings.cores = reader.optional_real("cores", 0.0, max_cores, 1.0);
    settings.memory =
        bytes_per_mb * reader.optional_number("memory_mb", min_memory_mb,
                                              max_memory_mb, default_memory_mb);
    settings.max_descriptors =
        reader.optional_number("max_descriptors", min_descriptors,
                               max_descriptors, settings.max_descriptors);
    settings.shutdown_grace = reader.required_duration("shutdown_grace");
}

void read_addresses(section_reader& reader, gateway_settings& settings)
{
    settings.callers = read_endpoint(reader, "callers");
    settings.readiness = read_endpoint(reader, "readiness");
    settings.metrics = read_endpoint(reader, "metrics");
    settings.store = read_endpoint(reader, "store");
    settings.peers = read_endpoint(reader, "peers");
    settings.seeds = read_endpoints(reader, "seeds");
}

void read_fleet(section_reader& reader, gateway_settings& settings)
{
    settings.spare_nodes = static_cast<std::uint32_t>(reader.optional_number(
        "spare_nodes", 0, max_nodes, settings.spare_nodes));
    settings.caller_delay = reader.required_duration("caller_delay");
    settings.max_configuration_age = reader.required_duration("news_age");
    settings.drain_delay =
        reader.optional_duration("drain_delay", settings.drain_delay);
}

void read_extra_attempts(section_reader& reader, gateway_settings& settings)
{
    settings.extra_attempt_ratio =
        reader.optional_fraction("ratio", settings.extra_attempt_ratio);
    settings.extra_attempt_allowance =
        static_cast<std::uint32_t>(reader.optional_number(
            "allowance", 0, max_allowance, settings.extra_attempt_allowance));
    settings.extra_attempt_window = reader.required_duration("window");
}

} // namespace

runtime::result<gateway_settings, std::vector<document_error>>
gateway_settings::parse(std::string_view text)
{
    gateway_settings settings;
    const auto errors = read_settings(text,
                                      {{"node",
                                        [&](section_reader& each) {
                                            read_node(each, settings);
                                        }},
                                       {"addresses",
                                        [&](section_reader& each) {
                                            read_addresses(each, settings);
                                        }},
                                       {"fleet",
                                        [&](section_reader& each) {
                                            read_fleet(each, settings);
                                        }},
                                       {"extra attempts",
                                        [&](section_reader& each) {
                                            read_extra_attempts(each, settings);
                                        }}},
                                      {});
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace tamarackhoist::node
