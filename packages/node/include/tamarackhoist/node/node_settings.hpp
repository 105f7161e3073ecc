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

/// Settings of one node process, read from its INI file.
struct node_settings {
    std::string name;
    std::string failure_domain;
    std::string region;
    /// Number of worker threads.
    std::uint32_t threads = 2;
    /// Listening addresses for callers, peers and operators.
    transport::endpoint callers;
    transport::endpoint peers;
    transport::endpoint operators;
    /// Address of the platform: configuration service and VM list.
    transport::endpoint platform;
    /// Keys of the configuration service values that contain the document.
    std::vector<std::string> document_values;
    /// Peer addresses that a starting node contacts to join the cluster.
    std::vector<transport::endpoint> seeds;
    /// Number of nodes in the whole fleet; determines over how long a time
    /// starting nodes spread their first reads.
    std::uint32_t expected_nodes = 6;
    /// Reads per second that the configuration service grants to the fleet.
    std::uint32_t service_reads_per_second = 2000;
    /// Time during shutdown for which a node that reports not ready still
    /// accepts requests, until the load balancer has noticed.
    runtime::duration balancer_lag = std::chrono::seconds(2);

    /// Parses the text of a settings file. Returns all errors if there are any.
    [[nodiscard]] static runtime::result<node_settings,
                                         std::vector<document::document_error>>
    parse(std::string_view text);
};

} // namespace tamarackhoist::node

#endif
