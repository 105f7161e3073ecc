#include <tamarackhoist/operators/log_entry.hpp>

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <ctime>

namespace tamarackhoist::operators
{

namespace json = boost::json;

namespace
{

std::string to_text(const json::value& value)
{
    if (const auto* text = value.if_string()) {
        return std::string(*text);
    }
    if (const auto* number = value.if_double()) {
        // json::serialize() would write 41.1 as 4.11E1.
        constexpr std::size_t max_double_length = 32;
        std::array<char, max_double_length> text{};
        const auto written =
            std::to_chars(text.data(), text.data() + text.size(), *number);
        return {text.data(), written.ptr};
    }
    return json::serialize(value);
}

/// Parses an event number such as "E202".
std::optional<runtime::event_number> parse_event(std::string_view text)
{
    if (text.empty() || text.front() != 'E') {
        return std::nullopt;
    }
    int number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + 1, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return static_cast<runtime::event_number>(number);
}

/// Parses a UTC time such as "2026-12-04T11:28:17.123".
std::optional<runtime::duration> parse_time(const std::string& text)
{
    std::tm fields{};
    const char* const rest =
        ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &fields);
    if (rest == nullptr || *rest != '.') {
        return std::nullopt;
    }
    int milliseconds = 0;
    const auto parsed =
        std::from_chars(rest + 1, text.c_str() + text.size(), milliseconds);
    if (parsed.ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(::timegm(&fields)) +
           std::chrono::milliseconds(milliseconds);
}

} // namespace

std::optional<std::string_view>
log_entry::member(std::string_view member_name) const
{
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const auto& member) {
            return member.first == member_name;
        });
    if (found == members.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<log_entry> log_entry::parse(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = line.substr(begin);
    json::error_code error;
    const auto value = json::parse({text.data(), text.size()}, error);
    const auto* object = error ? nullptr : value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    log_entry entry;
    std::optional<runtime::event_number> event;
    for (const auto& member : *object) {
        const std::string key(member.key());
        auto content = to_text(member.value());
        if (key == "time") {
            entry.time = std::move(content);
        } else if (key == "node") {
            entry.node = std::move(content);
        } else if (key == "event") {
            event = parse_event(content);
        } else if (key == "name") {
            entry.name = std::move(content);
        } else if (key != "level") {
            entry.members.emplace_back(key, std::move(content));
        }
    }
    const auto since_epoch = parse_time(entry.time);
    if (!event || !since_epoch) {
        return std::nullopt;
    }
    entry.event = *event;
    entry.since_epoch = *since_epoch;
    return entry;
}

} // namespace tamarackhoist::operators
