#ifndef TAMARACKHOIST_OPERATORS_REQUEST_STORY_HPP
#define TAMARACKHOIST_OPERATORS_REQUEST_STORY_HPP

#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/operators/log_entry.hpp>
#include <vector>

namespace tamarackhoist::operators
{

/// What the logs of some nodes say about one request.
struct request_story {
    /// Lines that name the request, in order of time.
    std::vector<log_entry> steps;
    /// What the same nodes came to believe meanwhile and shortly before about
    /// the upstreams that were asked, the configuration, the store and other
    /// nodes, in order of time.
    std::vector<log_entry> circumstances;
    /// One sentence for each way in which the request ended.
    std::vector<std::string> conclusions;
};

/// Collects the story of `request` from log lines of any number of nodes, in
/// any order.
[[nodiscard]] request_story tell_story(std::span<const std::string_view> lines,
                                       std::string_view request);

} // namespace tamarackhoist::operators

#endif
