#ifndef TAMARACKHOIST_DOCUMENT_SECTION_READER_HPP
#define TAMARACKHOIST_DOCUMENT_SECTION_READER_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tamarackhoist/document/ini_section.hpp>
#include <tamarackhoist/policy/key_range.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::document
{

/// Reads the typed values of one section and collects its faults. A value
/// that is missing or malformed is reported and replaced by a placeholder,
/// so that one pass finds every fault.
class section_reader
{
public:
    explicit section_reader(const ini_section& section);

    [[nodiscard]] std::string required_text(std::string_view key);
    [[nodiscard]] std::string optional_text(std::string_view key);
    [[nodiscard]] std::uint64_t required_number(std::string_view key,
                                                std::uint64_t least,
                                                std::uint64_t most);
    [[nodiscard]] std::uint64_t optional_number(std::string_view key,
                                                std::uint64_t least,
                                                std::uint64_t most,
                                                std::uint64_t fallback);
    /// Reads a fraction from 0 to 1.
    [[nodiscard]] double optional_fraction(std::string_view key,
                                           double fallback);
    /// Reads a number with a decimal point.
    [[nodiscard]] double optional_real(std::string_view key, double least,
                                       double most, double fallback);
    /// Reads `true` or `false`.
    [[nodiscard]] bool optional_flag(std::string_view key, bool fallback);
    /// Reads a number with the unit `ms` or `s`.
    [[nodiscard]] runtime::duration required_duration(std::string_view key);
    [[nodiscard]] runtime::duration
    optional_duration(std::string_view key, runtime::duration fallback);
    /// Reads a comma-separated list without empty elements.
    [[nodiscard]] std::vector<std::string> required_list(std::string_view key);
    /// Reads a list that may be missing or empty, as a rendered template
    /// leaves it.
    [[nodiscard]] std::vector<std::string> optional_list(std::string_view key);
    /// Reads `begin-end`, both hexadecimal with `0x` or decimal.
    [[nodiscard]] policy::key_range required_range(std::string_view key);

    /// Reports a fault of `key`.
    void fail(std::string_view key, std::string message);

    /// Reports every key that was not read, and returns all faults.
    [[nodiscard]] std::vector<document_error> finish();

private:
    [[nodiscard]] const ini_entry* take(std::string_view key, bool is_required);

    const ini_section& section_;
    std::set<std::string, std::less<>> known_;
    std::vector<document_error> errors_;
};

/// Splits a comma-separated list and trims its elements.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

} // namespace tamarackhoist::document

#endif
