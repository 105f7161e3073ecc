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

/// Settings of a node that forwards requests by the published configuration.
struct gateway_settings {
    std::string name;
    std::string failure_domain;
    transport::endpoint callers;
    transport::endpoint readiness;
    transport::endpoint metrics;
    transport::endpoint store;
    std::string region;
    /// Address for the other nodes, over TCP and UDP.
    transport::endpoint peers;
    /// Addresses of other nodes to contact first.
    std::vector<transport::endpoint> seeds;
    /// Part of a core that this node may use.
    double cores = 1.0;
    /// Nodes that may be added to the known ones at any time; they get their
    /// share of an upstream's connections in advance.
    std::uint32_t spare_nodes = 4;
    /// One-way time between a caller and this node.
    runtime::duration caller_delay = std::chrono::milliseconds(3);
    /// Time between SIGTERM and the end of the process by force.
    runtime::duration shutdown_grace = std::chrono::seconds(6);
    /// Age of the last news up to which an unknown route is reported as such.
    runtime::duration news_age = std::chrono::seconds(3);
    /// Extra attempts that a service may get for each request, and besides.
    double extra_attempt_ratio = 0.2;
    std::uint32_t extra_attempt_allowance = 0;
    runtime::duration extra_attempt_window = std::chrono::seconds(10);

    /// Parses the text of a settings file; returns every fault.
    [[nodiscard]] static runtime::result<gateway_settings,
                                         std::vector<document::document_error>>
    parse(std::string_view text);
};

} // namespace tamarackhoist::node

#endif
