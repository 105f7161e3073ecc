#ifndef TAMARACKHOIST_NODE_NODE_SETTINGS_HPP
#define TAMARACKHOIST_NODE_NODE_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/document/document_error.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Settings of one process, from its INI file.
struct node_settings {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::uint32_t threads = 2;
    transport::endpoint callers;
    transport::endpoint peers;
    transport::endpoint operators;
    transport::endpoint platform;
    /// Names of the values that hold the document.
    std::vector<std::string> document_values;
    /// Peer addresses to contact first.
    std::vector<transport::endpoint> seeds;
    /// Nodes of the whole fleet; spreads the reads of starting nodes.
    std::uint32_t expected_nodes = 6;
    /// Reads a second that the configuration service grants to the fleet.
    std::uint32_t service_reads_per_second = 2000;
    /// Time between the readiness going off and the exit, for the balancer
    /// to notice.
    runtime::duration balancer_lag = std::chrono::seconds(2);

    /// Parses the text of a settings file; returns every fault.
    [[nodiscard]] static runtime::result<node_settings,
                                         std::vector<document::document_error>>
    parse(std::string_view text);
};

} // namespace tamarackhoist::node

#endif
