#include <tamarackhoist/document/section_reader.hpp>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <sstream>

namespace tamarackhoist::document
{

namespace
{

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    int base = 10;
    if (text.starts_with("0x")) {
        text.remove_prefix(2);
        base = 16;
    }
    Number value{};
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_decimal(std::string_view text)
{
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> parts;
    boost::split(parts, text, boost::is_any_of(","));
    for (auto& part : parts) {
        boost::trim(part);
    }
    return parts;
}

section_reader::section_reader(const ini_section& section)
    : section_(section), errors_(section.errors)
{
}

void section_reader::fail(std::string_view key, std::string message)
{
    const auto* entry = section_.find(key);
    errors_.push_back({section_.title, std::string(key),
                       entry == nullptr ? section_.line : entry->line,
                       std::move(message)});
}

const ini_entry* section_reader::find_entry(std::string_view key,
                                            bool is_required)
{
    known_keys_.emplace(key);
    const auto* entry = section_.find(key);
    if (entry != nullptr && !entry->value.empty()) {
        return entry;
    }
    if (entry != nullptr) {
        fail(key, "the value is empty");
    } else if (is_required) {
        fail(key, "the key is missing");
    }
    return nullptr;
}

std::string section_reader::required_text(std::string_view key)
{
    const auto* entry = find_entry(key, true);
    return entry == nullptr ? std::string() : entry->value;
}

std::string section_reader::optional_text(std::string_view key)
{
    const auto* entry = find_entry(key, false);
    return entry == nullptr ? std::string() : entry->value;
}

std::uint64_t section_reader::required_number(std::string_view key,
                                              std::uint64_t min,
                                              std::uint64_t max)
{
    if (find_entry(key, true) == nullptr) {
        return min;
    }
    return optional_number(key, min, max, min);
}

std::uint64_t section_reader::optional_number(std::string_view key,
                                              std::uint64_t min,
                                              std::uint64_t max,
                                              std::uint64_t fallback)
{
    const auto* entry = find_entry(key, false);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_number<std::uint64_t>(entry->value);
    if (!value) {
        fail(key, "\"" + entry->value + "\" is not a whole number");
        return fallback;
    }
    if (*value < min || *value > max) {
        fail(key, entry->value + " is not in the range " + std::to_string(min) +
                      " to " + std::to_string(max));
        return fallback;
    }
    return *value;
}

double section_reader::optional_fraction(std::string_view key, double fallback)
{
    return optional_real(key, 0, 1, fallback);
}

double section_reader::optional_real(std::string_view key, double min,
                                     double max, double fallback)
{
    const auto* entry = find_entry(key, false);
    if (entry == nullptr) {
        return fallback;
    }
    const auto value = parse_decimal(entry->value);
    if (!value || !(*value >= min && *value <= max)) {
        std::ostringstream bounds;
        bounds << " is not a number from " << min << " to " << max;
        fail(key, "\"" + entry->value + "\"" + bounds.str());
        return fallback;
    }
    return *value;
}

bool section_reader::optional_flag(std::string_view key, bool fallback)
{
    const auto* entry = find_entry(key, false);
    if (entry == nullptr) {
        return fallback;
    }
    if (entry->value != "true" && entry->value != "false") {
        fail(key, "\"" + entry->value + "\" is neither true nor false");
        return fallback;
    }
    return entry->value == "true";
}

runtime::duration section_reader::optional_duration(std::string_view key,
                                                    runtime::duration fallback)
{
    return section_.find(key) == nullptr ? fallback : required_duration(key);
}

runtime::duration section_reader::required_duration(std::string_view key)
{
    constexpr auto fallback = std::chrono::seconds(1);
    constexpr std::uint64_t max_milliseconds = 3'600'000;
    const auto* entry = find_entry(key, true);
    if (entry == nullptr) {
        return fallback;
    }
    std::string_view text = entry->value;
    std::uint64_t unit_ms = 0;
    if (text.ends_with("ms")) {
        unit_ms = 1;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        unit_ms = 1000;
        text.remove_suffix(1);
    }
    const auto value = parse_number<std::uint32_t>(text);
    if (unit_ms == 0 || !value) {
        fail(key,
             "\"" + entry->value + "\" is not a number with the unit ms or s");
        return fallback;
    }
    const auto milliseconds = *value * unit_ms;
    if (milliseconds == 0 || milliseconds > max_milliseconds) {
        fail(key, entry->value + " is not in the range 1ms to 3600s");
        return fallback;
    }
    return std::chrono::milliseconds(milliseconds);
}

std::vector<std::string> section_reader::required_list(std::string_view key)
{
    const auto* entry = find_entry(key, true);
    if (entry == nullptr) {
        return {};
    }
    auto parts = split_list(entry->value);
    std::set<std::string> seen;
    for (const auto& part : parts) {
        if (part.empty()) {
            fail(key, "the list has an empty element");
        } else if (!seen.insert(part).second) {
            fail(key, "duplicate list element \"" + part + "\"");
        }
    }
    return parts;
}

std::vector<std::string> section_reader::optional_list(std::string_view key)
{
    const auto* entry = section_.find(key);
    if (entry == nullptr || entry->value.empty()) {
        known_keys_.emplace(key);
        return {};
    }
    return required_list(key);
}

policy::key_range section_reader::required_range(std::string_view key)
{
    const auto* entry = find_entry(key, true);
    if (entry == nullptr) {
        return policy::whole_key_space;
    }
    const std::string_view text = entry->value;
    const auto dash = text.find('-');
    const auto begin = parse_number<std::uint64_t>(text.substr(0, dash));
    const auto end = dash == std::string_view::npos
                         ? std::nullopt
                         : parse_number<std::uint64_t>(text.substr(dash + 1));
    if (!begin || !end || *begin >= *end || *end > policy::key_space_end) {
        fail(key, "\"" + entry->value +
                      "\" is not a range begin-end within 0x0-0x100000000");
        return policy::whole_key_space;
    }
    return {*begin, *end};
}

std::vector<document_error> section_reader::finish()
{
    for (const auto& entry : section_.entries) {
        if (known_keys_.contains(entry.key)) {
            continue;
        }
        fail(entry.key,
             "unknown key in a section of kind \"" + section_.kind + "\"");
    }
    return std::move(errors_);
}

} // namespace tamarackhoist::document
