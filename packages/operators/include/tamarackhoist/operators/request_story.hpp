#ifndef TAMARACKHOIST_OPERATORS_REQUEST_STORY_HPP
#define TAMARACKHOIST_OPERATORS_REQUEST_STORY_HPP

#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/operators/log_entry.hpp>
#include <vector>

namespace tamarackhoist::operators
{

/// The course of one request, reconstructed from the logs of nodes.
struct request_story {
    /// Log lines that name the request, in chronological order.
    std::vector<log_entry> steps;
    /// Other state changes that the same nodes logged before or during the
    /// request, in chronological order: those of the upstreams and services
    /// concerned, however old, and recent ones of the configuration, the store
    /// and other nodes.
    std::vector<log_entry> circumstances;
    /// One sentence for each logged outcome of the request or missing shard.
    std::vector<std::string> conclusions;
};

/// Reconstructs the course of the request with the id `request` from log lines
/// of any number of nodes, in any order. All members are empty when no line
/// names the request.
[[nodiscard]] request_story
build_request_story(std::span<const std::string_view> lines,
                    std::string_view request);

} // namespace tamarackhoist::operators

#endif
