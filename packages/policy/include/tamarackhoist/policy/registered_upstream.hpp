#ifndef TAMARACKHOIST_POLICY_REGISTERED_UPSTREAM_HPP
#define TAMARACKHOIST_POLICY_REGISTERED_UPSTREAM_HPP

#include <cstdint>
#include <string>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// One upstream as it registered itself.
struct registered_upstream {
    std::string id;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// How much longer the upstream stays slow after its start.
    runtime::duration warm_up_left{};
    /// Unix time of its start in milliseconds; tells incarnations apart.
    std::uint64_t started_at = 0;
    /// Revision of the registration in the store.
    std::uint64_t revision = 0;

    bool operator==(const registered_upstream&) const = default;
};

} // namespace tamarackhoist::policy

#endif
