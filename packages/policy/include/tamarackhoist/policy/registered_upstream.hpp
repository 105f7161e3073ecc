#ifndef TAMARACKHOIST_POLICY_REGISTERED_UPSTREAM_HPP
#define TAMARACKHOIST_POLICY_REGISTERED_UPSTREAM_HPP

#include <cstdint>
#include <string>
#include <tamarackhoist/policy/store_position.hpp>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Registration of one upstream in the store.
struct registered_upstream {
    std::string id;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string failure_domain;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// Remaining warm-up time, during which the upstream answers slowly.
    runtime::duration warm_up_left{};
    /// Unix time of the upstream's start in milliseconds; identifies its
    /// incarnation.
    std::uint64_t started_at = 0;
    /// Position of the registration in the store.
    store_position position;

    bool operator==(const registered_upstream&) const = default;
};

} // namespace tamarackhoist::policy

#endif
