#ifndef TAMARACKHOIST_PLATFORM_PLATFORM_WIRE_HPP
#define TAMARACKHOIST_PLATFORM_PLATFORM_WIRE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// The protocol of the configuration service and of the VM list. Every
/// detail of its wire format is in this module.
namespace tamarackhoist::platform
{

/// One value of the configuration service at one revision.
struct configuration_value {
    std::string key;
    std::uint64_t revision = 0;
    std::string text;
};

enum class vm_role { entry, upstream };
enum class vm_state { live, leaving };

struct listed_vm {
    std::string name;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::live;
    std::string failure_domain;
    std::string address;
    std::uint16_t port = 0;
};

/// Largest value that the configuration service holds.
constexpr std::size_t max_value_bytes = 1024 * 1024;

/// Returns the path that reads `key` once its revision exceeds `after`,
/// waiting for at most `wait`.
[[nodiscard]] std::string value_path(std::string_view key, std::uint64_t after,
                                     runtime::duration wait);

constexpr auto vm_list_path = "/v1/vms";

/// Decodes the answer to a read; the error says what is wrong with it.
[[nodiscard]] runtime::result<configuration_value, std::string>
decode_value(std::string_view body);

[[nodiscard]] runtime::result<std::vector<listed_vm>, std::string>
decode_vm_list(std::string_view body);

} // namespace tamarackhoist::platform

#endif
