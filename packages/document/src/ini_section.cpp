#include <tamarackhoist/document/ini_section.hpp>

#include <algorithm>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/algorithm/string/trim_all.hpp>

namespace tamarackhoist::document
{

namespace
{

constexpr std::size_t max_line_length = 64 * 1024; // bytes

std::string trim(std::string_view text)
{
    return boost::trim_copy(std::string(text));
}

void read_title(ini_section& section, const std::string& line)
{
    if (line.back() != ']') {
        section.errors.push_back(
            {line, {}, section.line, "the title has no closing bracket"});
    }
    const auto inner = line.substr(1, line.find(']') - 1);
    section.title = boost::trim_all_copy(inner);
    const auto space = section.title.find(' ');
    section.kind = section.title.substr(0, space);
    if (space != std::string::npos) {
        section.name = section.title.substr(space + 1);
    }
    if (section.title.empty()) {
        section.errors.push_back({{}, {}, section.line, "the title is empty"});
    }
}

void read_entry(ini_section& section, const std::string& line,
                std::size_t line_number)
{
    const auto equals = line.find('=');
    if (equals == std::string::npos) {
        section.errors.push_back(
            {section.title,
             {},
             line_number,
             "the line is not of the form \"key = value\""});
        return;
    }
    ini_entry entry{trim(line.substr(0, equals)), trim(line.substr(equals + 1)),
                    line_number};
    if (entry.key.empty()) {
        section.errors.push_back(
            {section.title, {}, line_number, "the key is empty"});
        return;
    }
    if (section.find(entry.key) != nullptr) {
        section.errors.push_back(
            {section.title, entry.key, line_number, "duplicate key"});
        return;
    }
    section.entries.push_back(std::move(entry));
}

} // namespace

const ini_entry* ini_section::find(std::string_view key) const
{
    const auto found = std::ranges::find(entries, key, &ini_entry::key);
    return found == entries.end() ? nullptr : &*found;
}

std::vector<ini_section> read_ini(std::string_view text, std::size_t first_line)
{
    std::vector<ini_section> sections;
    auto next_line_number = first_line;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto raw = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto line = trim(raw);
        const auto line_number = next_line_number++;
        if (!line.empty() && line.front() == '[') {
            sections.emplace_back();
            sections.back().line = line_number;
            read_title(sections.back(), line);
        }
        const bool is_blank_or_comment =
            line.empty() || line.front() == '#' || line.front() == ';';
        if (sections.empty() && is_blank_or_comment) {
            continue;
        }
        if (sections.empty()) {
            sections.emplace_back();
            sections.back().line = line_number;
            sections.back().errors.push_back(
                {{}, {}, line_number, "the line is outside any section"});
        }
        auto& section = sections.back();
        section.text.append(raw).append("\n");
        if (raw.size() > max_line_length) {
            section.errors.push_back({section.title,
                                      {},
                                      line_number,
                                      "the line is longer than " +
                                          std::to_string(max_line_length) +
                                          " bytes"});
            continue;
        }
        if (is_blank_or_comment || line.front() == '[') {
            continue;
        }
        read_entry(section, line, line_number);
    }
    return sections;
}

} // namespace tamarackhoist::document
