#include <tamarackhoist/policy/forward_memory.hpp>

namespace tamarackhoist::policy
{

namespace
{

/// Copies of the request that the calls of a fan-out to its relays hold, as
/// messages and in their encoding.
constexpr std::size_t fan_out_request_copies = 16;
/// Copies of the request that a relay holds, as a message and in its encoding.
constexpr std::size_t relay_request_copies = 2;

} // namespace

std::size_t estimate_forward_memory(const route& route,
                                    std::size_t request_bytes)
{
    if (!route.is_fan_out()) {
        return 0;
    }
    return route.shards.size() * bytes_per_shard +
           fan_out_request_copies * request_bytes;
}

std::size_t estimate_relay_memory(std::size_t shards, std::size_t request_bytes)
{
    return shards * bytes_per_shard + relay_request_copies * request_bytes;
}

} // namespace tamarackhoist::policy
