#ifndef TAMARACKHOIST_RUNTIME_LOG_LINE_HPP
#define TAMARACKHOIST_RUNTIME_LOG_LINE_HPP

#include <concepts>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::runtime
{

/// Builds the members of one structured log line. Nothing is formatted when
/// the line would not be written, so that a busy node pays little for it.
class log_line
{
public:
    explicit log_line(event_number number);
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /// Writes the line.
    ~log_line();

    log_line& add(std::string_view name, std::string_view text);
    log_line& add(std::string_view name, const char* text)
    {
        return add(name, std::string_view(text));
    }
    log_line& add(std::string_view name, double number);
    template <std::integral Integer>
    log_line& add(std::string_view name, Integer number)
    {
        add_raw(name, std::to_string(number));
        return *this;
    }
    /// Adds a time in milliseconds; the name should end in `_ms`.
    log_line& add(std::string_view name, duration time)
    {
        return add(name, to_milliseconds(time));
    }

private:
    void add_raw(std::string_view name, std::string_view json);

    const event_number number_;
    const bool is_written_;
    std::string members_;
};

} // namespace tamarackhoist::runtime

#endif
