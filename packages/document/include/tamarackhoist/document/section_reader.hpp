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

/// Reads the typed values of one section and collects its errors. A missing or
/// malformed value is reported and replaced by a valid placeholder or the
/// fallback, so that one pass finds every error. Keeps a reference to the
/// section, which must outlive the reader.
class section_reader
{
public:
    explicit section_reader(const ini_section& section);

    [[nodiscard]] std::string required_text(std::string_view key);
    /// Returns an empty string when the key is missing.
    [[nodiscard]] std::string optional_text(std::string_view key);
    /// Reads a whole number from `min` to `max`, both inclusive, decimal or
    /// hexadecimal with `0x`.
    [[nodiscard]] std::uint64_t
    required_number(std::string_view key, std::uint64_t min, std::uint64_t max);
    [[nodiscard]] std::uint64_t optional_number(std::string_view key,
                                                std::uint64_t min,
                                                std::uint64_t max,
                                                std::uint64_t fallback);
    /// Reads a fraction from 0 to 1.
    [[nodiscard]] double optional_fraction(std::string_view key,
                                           double fallback);
    /// Reads a decimal number from `min` to `max`, both inclusive.
    [[nodiscard]] double optional_real(std::string_view key, double min,
                                       double max, double fallback);
    /// Reads `true` or `false`.
    [[nodiscard]] bool optional_flag(std::string_view key, bool fallback);
    /// Reads a whole number with the unit `ms` or `s`, from 1ms to 3600s.
    [[nodiscard]] runtime::duration required_duration(std::string_view key);
    [[nodiscard]] runtime::duration
    optional_duration(std::string_view key, runtime::duration fallback);
    /// Reads a comma-separated list without empty or duplicate elements.
    [[nodiscard]] std::vector<std::string> required_list(std::string_view key);
    /// Like required_list(), but the key may be missing or its value empty, as
    /// in a rendered template without elements.
    [[nodiscard]] std::vector<std::string> optional_list(std::string_view key);
    /// Reads the half-open range `begin-end`; both bounds are decimal or
    /// hexadecimal with `0x`.
    [[nodiscard]] policy::key_range required_range(std::string_view key);

    /// Reports an error at the line of `key`, or at the title of the section
    /// when the key is missing.
    void fail(std::string_view key, std::string message);

    /// Reports every key that was never read as unknown, and returns all
    /// errors. To be called once, after the last read.
    [[nodiscard]] std::vector<document_error> finish();

private:
    /// Marks the key as known and returns its entry, or nullptr when the entry
    /// is missing or empty. Reports an empty value and a missing required key.
    [[nodiscard]] const ini_entry* find_entry(std::string_view key,
                                              bool is_required);

    const ini_section& section_;
    std::set<std::string, std::less<>> known_keys_;
    std::vector<document_error> errors_;
};

/// Splits a comma-separated list and trims its elements.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

} // namespace tamarackhoist::document

#endif
