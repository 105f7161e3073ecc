#ifndef TAMARACKHOIST_NODE_SETTINGS_READER_HPP
#define TAMARACKHOIST_NODE_SETTINGS_READER_HPP

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/document/section_reader.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

/// Parses INI settings files; shared by the `node` and `gateway` roles.
namespace tamarackhoist::node
{

/// Reads the keys of one section.
using section_handler = std::function<void(document::section_reader&)>;

/// Parses `text` and passes each section to the handler registered under its
/// title. Returns all errors, including those for duplicate or unknown
/// sections and for required sections that are missing; empty on success.
[[nodiscard]] std::vector<document::document_error>
read_settings(std::string_view text,
              const std::map<std::string, section_handler>& required,
              const std::map<std::string, section_handler>& optional);

/// Reads a required value of the form ADDRESS:PORT. Records an error in
/// `reader` and returns a default endpoint if it is missing or malformed.
[[nodiscard]] transport::endpoint
read_endpoint(document::section_reader& reader, std::string_view key);

/// Reads an optional list of values of the form ADDRESS:PORT. Records an error
/// in `reader` for each malformed entry and skips that entry.
[[nodiscard]] std::vector<transport::endpoint>
read_endpoints(document::section_reader& reader, std::string_view key);

} // namespace tamarackhoist::node

#endif
