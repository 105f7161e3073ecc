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

/// One line of a node's log, as docs/EVENTS.md describes it.
struct log_entry {
    /// Time of day at the node, as it was written.
    std::string time;
    /// The same since the Unix epoch; clocks of nodes differ a little.
    runtime::duration since_epoch{};
    std::string node;
    runtime::event_number event{};
    std::string name;
    /// The members of the event in their order, as text.
    std::vector<std::pair<std::string, std::string>> members;

    /// Returns a member's text, or nothing where the line has no such member.
    [[nodiscard]] std::optional<std::string_view>
    member(std::string_view wanted) const;

    /// Reads a line. Text before its object, as collectors of logs put there,
    /// is passed over; a line without a readable object gives nothing.
    [[nodiscard]] static std::optional<log_entry> parse(std::string_view line);
};

} // namespace tamarackhoist::operators

#endif
