#ifndef TAMARACKHOIST_RUNTIME_LOG_OUTPUT_HPP
#define TAMARACKHOIST_RUNTIME_LOG_OUTPUT_HPP

#include <string_view>
#include <tamarackhoist/runtime/event.hpp>

/// Where log lines go: rate limits for each event, then log4cxx, then a
/// bounded queue that a thread of its own writes to standard output.
namespace tamarackhoist::runtime::log_output
{

/// Whether a line of this event may be written now. Counts those that may
/// not; the next line of the event states how many were left out.
[[nodiscard]] bool admit(event_number number);

/// Writes one JSON line; `members` are further members, each with a comma
/// before it.
void write(event_number number, std::string_view members);

} // namespace tamarackhoist::runtime::log_output

#endif
