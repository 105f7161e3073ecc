#include "settings_reader.hpp"

#include <optional>
#include <set>

namespace tamarackhoist::node
{

using document::document_error;
using document::ini_section;
using document::section_reader;

namespace
{

void append_errors(std::vector<document_error>& errors,
                   const std::vector<document_error>& added)
{
    errors.insert(errors.end(), added.begin(), added.end());
}

void read_section(const ini_section& section, const section_handler& handler,
                  std::vector<document_error>& errors)
{
    section_reader reader(section);
    handler(reader);
    append_errors(errors, reader.finish());
}

} // namespace

std::vector<document_error>
read_settings(std::string_view text,
              const std::map<std::string, section_handler>& required,
              const std::map<std::string, section_handler>& optional)
{
    std::vector<document_error> errors;
    std::set<std::string> present;
    for (const auto& section : document::read_ini(text)) {
        if (!present.insert(section.title).second) {
            errors.push_back({section.title,
                              {},
                              section.line,
                              "the section is defined more than once"});
            continue;
        }
        if (const auto found = required.find(section.title);
            found != required.end()) {
            read_section(section, found->second, errors);
            continue;
        }
        if (const auto found = optional.find(section.title);
            found != optional.end()) {
            read_section(section, found->second, errors);
            continue;
        }
        append_errors(errors, section.errors);
        errors.push_back(
            {section.title, {}, section.line, "the section is unknown"});
    }
    for (const auto& [title, handler] : required) {
        if (!present.contains(title)) {
            errors.push_back({title, {}, 1, "the required section is missing"});
        }
    }
    return errors;
}

namespace
{

std::optional<transport::endpoint> parse_endpoint(section_reader& reader,
                                                  std::string_view key,
                                                  const std::string& text)
{
    auto parsed = transport::endpoint::parse(text);
    if (!parsed) {
        reader.fail(key, "\"" + text + "\" is not of the form ADDRESS:PORT");
    }
    return parsed;
}

} // namespace

transport::endpoint read_endpoint(section_reader& reader, std::string_view key)
{
    const auto text = reader.required_text(key);
    if (text.empty()) {
        // The reader has already recorded the error.
        return {};
    }
    return parse_endpoint(reader, key, text).value_or(transport::endpoint{});
}

std::vector<transport::endpoint> read_endpoints(section_reader& reader,
                                                std::string_view key)
{
    std::vector<transport::endpoint> endpoints;
    for (const auto& text : reader.optional_list(key)) {
        if (auto parsed = parse_endpoint(reader, key, text)) {
            endpoints.push_back(std::move(*parsed));
        }
    }
    return endpoints;
}

} // namespace tamarackhoist::node
