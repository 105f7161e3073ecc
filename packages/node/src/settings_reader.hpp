#ifndef TAMARACKHOIST_NODE_SETTINGS_READER_HPP
#define TAMARACKHOIST_NODE_SETTINGS_READER_HPP

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/document/section_reader.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <vector>

/// Reading of INI settings files, shared by the kinds of nodes.
namespace tamarackhoist::node
{

/// Reads the keys of one section.
using section_handler = std::function<void(document::section_reader&)>;

/// Reads every section of `text` with its handler; returns every fault.
/// Sections that are given twice, unknown or missing are faults.
[[nodiscard]] std::vector<document::document_error>
read_settings(std::string_view text,
              const std::map<std::string, section_handler>& required,
              const std::map<std::string, section_handler>& optional);

/// Reads an address of the form ADDRESS:PORT.
[[nodiscard]] transport::endpoint
read_endpoint(document::section_reader& reader, std::string_view key);

/// Reads a list of addresses, which may be empty.
[[nodiscard]] std::vector<transport::endpoint>
read_endpoints(document::section_reader& reader, std::string_view key);

} // namespace tamarackhoist::node

#endif
