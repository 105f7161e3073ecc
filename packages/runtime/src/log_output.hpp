#ifndef TAMARACKHOIST_RUNTIME_LOG_OUTPUT_HPP
#define TAMARACKHOIST_RUNTIME_LOG_OUTPUT_HPP

#include <string_view>
#include <tamarackhoist/runtime/event.hpp>

/// Output of log lines. Lines pass a rate limit for each event, then log4cxx,
/// then a bounded queue that a dedicated thread writes to standard output.
namespace tamarackhoist::runtime::log_output
{

/// Returns whether the rate limit of the event allows another line. Counts the
/// suppressed lines; their number is logged with the event `lines_left_out`
/// before the next line of the event.
[[nodiscard]] bool admit(event_number number);

/// Writes one line as a JSON object. `members` holds additional JSON members,
/// each preceded by a comma.
void write(event_number number, std::string_view members);

} // namespace tamarackhoist::runtime::log_output

#endif
