#ifndef TAMARACKHOIST_RUNTIME_LOG_LINE_HPP
#define TAMARACKHOIST_RUNTIME_LOG_LINE_HPP

#include <concepts>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::runtime
{

/// Builds the members of one structured log line. Members are not formatted if
/// the line is suppressed, so that a busy node spends little time on logging.
class log_line
{
public:
    /// Starts a line, which counts against the rate limit of the event.
    explicit log_line(event_number number);
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /// Writes the line unless it is suppressed.
    ~log_line();

    /// Adds a member with a string value.
    log_line& add(std::string_view name, std::string_view text);
    log_line& add(std::string_view name, const char* text)
    {
        return add(name, std::string_view(text));
    }
    /// Adds a number with three decimals.
    log_line& add(std::string_view name, double number);
    template <std::integral Integer>
    log_line& add(std::string_view name, Integer number)
    {
        add_json(name, std::to_string(number));
        return *this;
    }
    /// Adds a duration in milliseconds; the name should end in `_ms`.
    log_line& add(std::string_view name, duration time)
    {
        return add(name, to_milliseconds(time));
    }

private:
    /// Adds a member whose value is JSON already.
    void add_json(std::string_view name, std::string_view json);

    const event_number number_;
    const bool is_enabled_;
    std::string members_;
};

} // namespace tamarackhoist::runtime

#endif
