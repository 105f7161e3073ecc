#ifndef TAMARACKHOIST_POLICY_FORWARD_MEMORY_HPP
#define TAMARACKHOIST_POLICY_FORWARD_MEMORY_HPP

#include <cstddef>
#include <tamarackhoist/policy/routing_table.hpp>

/// Estimates of the memory that requests in progress hold.
namespace tamarackhoist::policy
{

/// Memory for the attempts at one shard.
inline constexpr std::size_t bytes_per_shard = 1024;

/// Returns the memory that a node holds to forward a request of
/// `request_bytes` on `route`, besides the request itself.
[[nodiscard]] std::size_t estimate_forward_memory(const route& route,
                                                  std::size_t request_bytes);

/// Returns the memory that a relay holds for a call that sends a request of
/// `request_bytes` to `shards` shards.
[[nodiscard]] std::size_t estimate_relay_memory(std::size_t shards,
                                                std::size_t request_bytes);

} // namespace tamarackhoist::policy

#endif
