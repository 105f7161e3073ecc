#ifndef TAMARACKHOIST_OPERATORS_LOG_ENTRY_HPP
#define TAMARACKHOIST_OPERATORS_LOG_ENTRY_HPP

#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <utility>
#include <vector>

namespace tamarackhoist::operators
{

/// One line of a node's log in the format of docs/EVENTS.md.
struct log_entry {
    /// Timestamp as written in the line, in UTC by the clock of the node.
    std::string time;
    /// The same time since the Unix epoch. Clocks of different nodes may
    /// differ slightly.
    runtime::duration since_epoch{};
    std::string node;
    runtime::event_number event{};
    /// Name of the event.
    std::string name;
    /// The other members by name, in the order of the line, as text.
    std::vector<std::pair<std::string, std::string>> members;

    /// Returns the text of a member, or std::nullopt when the line has no such
    /// member.
    [[nodiscard]] std::optional<std::string_view>
    member(std::string_view member_name) const;

    /// Parses a log line. Skips text before the JSON object, such as the prefix
    /// of a log collector. Returns std::nullopt for a line without a valid
    /// object, event number or time.
    [[nodiscard]] static std::optional<log_entry> parse(std::string_view line);
};

} // namespace tamarackhoist::operators

#endif
