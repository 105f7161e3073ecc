#ifndef TAMARACKHOIST_NODE_GATEWAY_SETTINGS_HPP
#define TAMARACKHOIST_NODE_GATEWAY_SETTINGS_HPP

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

/// Settings of a gateway, read from its settings file.
struct gateway_settings {
    /// Identifier of the node, unique in the fleet.
    std::string name;
    std::string failure_domain;
    /// Listens for callers' requests.
    transport::endpoint callers;
    /// Listens for readiness checks.
    transport::endpoint readiness;
    /// Listens for reads of the metrics.
    transport::endpoint metrics;
    /// Address of the configuration service.
    transport::endpoint store;
    std::string region;
    /// Listens for the other nodes, on TCP and UDP.
    transport::endpoint peers;
    /// Addresses of other nodes to contact first.
    std::vector<transport::endpoint> seeds;
    /// Number of cores that this node may use; may be a fraction.
    double cores = 1.0;
    /// Memory that this process may use, in bytes.
    std::size_t memory = std::size_t(256) * 1024 * 1024;
    /// File descriptors that this process may use.
    std::size_t max_descriptors = 4096;
    /// Number of nodes that may join the fleet at any time. Their share of
    /// each upstream's connections is reserved in advance.
    std::uint32_t spare_nodes = 4;
    /// One-way network delay between a caller and this node.
    runtime::duration caller_delay = std::chrono::milliseconds(3);
    /// Time after SIGTERM at which the process is killed.
    runtime::duration shutdown_grace = std::chrono::seconds(6);
    /// Maximum time since the configuration was last confirmed for which a
    /// request without a route is answered with 404. Beyond it, the route may
    /// have been added meanwhile, and the request is refused with 503.
    runtime::duration max_configuration_age = std::chrono::seconds(3);
    /// Time after an upstream has reported that it drains by which this node
    /// must send it nothing more.
    runtime::duration drain_delay = std::chrono::seconds(3);
    /// Retries and hedges that a service may receive for each request.
    double extra_attempt_ratio = 0.2;
    /// Retries and hedges that a service may receive in each window in
    /// addition, from the whole fleet.
    std::uint32_t extra_attempt_allowance = 0;
    /// Length of the window over which extra attempts are counted.
    runtime::duration extra_attempt_window = std::chrono::seconds(10);

    /// Parses the text of a settings file. On failure, returns every error in
    /// it.
    [[nodiscard]] static runtime::result<gateway_settings,
                                         std::vector<document::document_error>>
    parse(std::string_view text);
};

} // namespace tamarackhoist::node

#endif
