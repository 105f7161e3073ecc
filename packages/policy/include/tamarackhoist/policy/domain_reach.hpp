#ifndef TAMARACKHOIST_POLICY_DOMAIN_REACH_HPP
#define TAMARACKHOIST_POLICY_DOMAIN_REACH_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// Tells from what a node hears and misses which failure domains it reaches.
/// A node that is cut off with too few upstreams cannot answer fan-outs: it
/// refuses them at once and leaves new callers to the nodes of other domains.
/// Free of I/O; not thread-safe.
class domain_reach
{
public:
    explicit domain_reach(std::string own_domain);

    /// A node or an upstream of `domain` sent something.
    void record_heard(std::string_view domain);

    /// A node of `domain` did not answer in time, or a connection to one of
    /// its nodes or upstreams broke.
    void record_missed(std::string_view domain, runtime::time_point now);

    /// Returns whether upstreams of `domain` are worth asking. True of the
    /// own domain, and of those of which nothing is known.
    [[nodiscard]] bool is_reached(std::string_view domain,
                                  runtime::time_point now) const;

    /// Returns the domains that are not reached.
    [[nodiscard]] std::vector<std::string>
    unreached(runtime::time_point now) const;

    /// Returns whether this node reaches less than half of the failure domains
    /// that it knows: others are then better placed to serve.
    [[nodiscard]] bool is_in_minority(runtime::time_point now) const;

    /// Returns whether enough shards of `of` have an upstream within reach.
    /// True of a route that is no fan-out.
    [[nodiscard]] bool can_cover(const route& of,
                                 const upstream_directory& directory,
                                 runtime::time_point now) const;

    /// Returns whether a request that cannot be covered is to be tried all the
    /// same, as one in a while is, to learn whether that still holds.
    [[nodiscard]] bool take_trial(runtime::time_point now);

private:
    /// What was missed of one domain since it was last heard.
    struct record {
        runtime::time_point first_missed_at;
        runtime::time_point last_missed_at;
        std::uint32_t misses = 0;
    };

    [[nodiscard]] static bool is_silent(const record& each,
                                        runtime::time_point now);

    std::string own_domain_;
    std::map<std::string, record, std::less<>> records_;
    runtime::time_point tried_at_;
};

} // namespace tamarackhoist::policy

#endif
