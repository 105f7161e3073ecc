#include <tamarackhoist/platform/platform_wire.hpp>

#include <boost/json.hpp>
#include <optional>
#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::platform
{

namespace json = boost::json;

namespace
{

std::optional<std::string> find_string_member(const json::object& object,
                                              std::string_view name)
{
    const auto* member = object.if_contains({name.data(), name.size()});
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string(member->get_string());
}

std::optional<std::uint64_t> find_number_member(const json::object& object,
                                                std::string_view name)
{
    const auto* member = object.if_contains({name.data(), name.size()});
    if (member == nullptr) {
        return std::nullopt;
    }
    return transport::json_number(*member);
}

} // namespace

std::string value_path(std::string_view key, std::uint64_t after,
                       runtime::duration wait)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "/v1/values/" + std::string(key) +
           "?after=" + std::to_string(after) +
           "&wait_ms=" + std::to_string(milliseconds);
}

runtime::result<configuration_value, std::string>
decode_value(std::string_view body)
{
    boost::system::error_code error;
    const auto parsed = json::parse({body.data(), body.size()}, error);
    if (error) {
        return "the response is not valid JSON: " + error.message();
    }
    const auto* object = parsed.if_object();
    if (object == nullptr) {
        return std::string("the response is not a JSON object");
    }
    auto key = find_string_member(*object, "key");
    const auto revision = find_number_member(*object, "revision");
    auto text = find_string_member(*object, "value");
    if (!key || !revision || !text) {
        return std::string(
            "the response lacks a valid \"key\", \"revision\" or \"value\"");
    }
    if (text->size() > max_value_bytes) {
        return "value \"" + *key + "\" holds " + std::to_string(text->size()) +
               " bytes, more than the limit of " +
               std::to_string(max_value_bytes);
    }
    return configuration_value{std::move(*key), *revision, std::move(*text)};
}

runtime::result<std::vector<listed_vm>, std::string>
decode_vm_list(std::string_view body)
{
    boost::system::error_code error;
    const auto parsed = json::parse({body.data(), body.size()}, error);
    const auto* object = error ? nullptr : parsed.if_object();
    const auto* list = object == nullptr ? nullptr : object->if_contains("vms");
    if (list == nullptr || !list->is_array()) {
        return std::string(
            "the VM list is not a JSON object with an array \"vms\"");
    }
    constexpr std::uint64_t max_port = 65535;
    std::vector<listed_vm> vms;
    for (const auto& entry : list->get_array()) {
        const auto* vm = entry.if_object();
        if (vm == nullptr) {
            return std::string("an entry of the VM list is not a JSON object");
        }
        auto name = find_string_member(*vm, "name");
        const auto role = find_string_member(*vm, "role");
        const auto state = find_string_member(*vm, "state");
        auto address = find_string_member(*vm, "address");
        const auto port = find_number_member(*vm, "port");
        if (!name || !role || !state || !address || !port || *port > max_port) {
            return "VM \"" + name.value_or("") +
                   "\" in the VM list has a missing or invalid member";
        }
        vms.push_back({std::move(*name),
                       *role == "upstream" ? vm_role::upstream : vm_role::entry,
                       *state == "leaving" ? vm_state::leaving : vm_state::live,
                       find_string_member(*vm, "failure_domain").value_or(""),
                       std::move(*address), static_cast<std::uint16_t>(*port)});
    }
    return vms;
}

} // namespace tamarackhoist::platform
