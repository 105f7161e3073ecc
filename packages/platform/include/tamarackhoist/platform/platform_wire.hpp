#ifndef TAMARACKHOIST_PLATFORM_PLATFORM_WIRE_HPP
#define TAMARACKHOIST_PLATFORM_PLATFORM_WIRE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

/// Codec for the HTTP and JSON protocol of the configuration service and of
/// the VM list. No other module depends on its wire format.
namespace tamarackhoist::platform
{

/// A value of the configuration service at a given revision.
struct configuration_value {
    std::string key;
    std::uint64_t revision = 0;
    std::string text;
};

enum class vm_role { entry, upstream };
enum class vm_state { live, leaving };

/// An entry of the VM list.
struct listed_vm {
    std::string name;
    vm_role role = vm_role::entry;
    vm_state state = vm_state::live;
    std::string failure_domain;
    std::string address;
    std::uint16_t port = 0;
};

/// Largest value that the configuration service stores.
constexpr std::size_t max_value_bytes = 1024 * 1024;

/// Returns the request path of a long poll for `key`: the service responds as
/// soon as the revision of `key` exceeds `after`, or after `wait` at the
/// latest. `wait` is sent in whole milliseconds.
[[nodiscard]] std::string value_path(std::string_view key, std::uint64_t after,
                                     runtime::duration wait);

constexpr auto vm_list_path = "/v1/vms";

/// Decodes the response to a read of a value. The error describes what is
/// wrong with the response.
[[nodiscard]] runtime::result<configuration_value, std::string>
decode_value(std::string_view body);

/// Decodes the VM list. The error describes what is wrong with the response.
[[nodiscard]] runtime::result<std::vector<listed_vm>, std::string>
decode_vm_list(std::string_view body);

} // namespace tamarackhoist::platform

#endif
