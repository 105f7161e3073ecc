#include <tamarackhoist/runtime/log_line.hpp>

#include "log_output.hpp"
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <cstdio>

namespace tamarackhoist::runtime
{

log_line::log_line(event_number number)
    : number_(number), is_enabled_(log_output::admit(number))
{
}

log_line::~log_line()
{
    if (is_enabled_) {
        log_output::write(number_, members_);
    }
}

log_line& log_line::add(std::string_view name, std::string_view text)
{
    if (is_enabled_) {
        add_json(name, boost::json::serialize(
                           boost::json::string_view(text.data(), text.size())));
    }
    return *this;
}

log_line& log_line::add(std::string_view name, double number)
{
    if (is_enabled_) {
        std::array<char, 32> text{};
        const auto size =
            std::snprintf(text.data(), text.size(), "%.3f", number);
        add_json(name, {text.data(), static_cast<std::size_t>(size)});
    }
    return *this;
}

void log_line::add_json(std::string_view name, std::string_view json)
{
    if (!is_enabled_) {
        return;
    }
    members_.append(",\"").append(name).append("\":").append(json);
}

} // namespace tamarackhoist::runtime
