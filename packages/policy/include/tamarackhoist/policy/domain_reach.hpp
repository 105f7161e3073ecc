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

/// Detects which failure domains this node cannot reach, from the messages it
/// receives and the contacts that fail. A node that is partitioned off with
/// too few upstreams cannot answer fan-outs: it rejects them immediately and
/// leaves new callers to the nodes of other domains.
/// Performs no I/O; not thread-safe.
class domain_reach
{
public:
    explicit domain_reach(std::string own_domain);

    /// Records that a node or an upstream of `domain` sent something.
    void record_contact(std::string_view domain);

    /// Records that a node of `domain` did not answer in time, or that a
    /// connection to one of its nodes or upstreams broke. Ignored for a domain
    /// that was never heard from.
    void record_missed_contact(std::string_view domain,
                               runtime::time_point now);

    /// Returns whether requests may be sent to upstreams of `domain`. True for
    /// this node's own domain and for domains without any records.
    [[nodiscard]] bool is_reachable(std::string_view domain,
                                    runtime::time_point now) const;

    /// Returns the domains that are unreachable.
    [[nodiscard]] std::vector<std::string>
    unreachable_domains(runtime::time_point now) const;

    /// Returns whether this node reaches less than half of the failure domains
    /// that it knows, its own included. Nodes of other domains can then serve
    /// callers better.
    [[nodiscard]] bool is_in_minority(runtime::time_point now) const;

    /// Returns whether enough shards of `route` have an upstream in a reachable
    /// domain to meet its minimum coverage. True if `route` is not a fan-out.
    [[nodiscard]] bool can_cover(const route& route,
                                 const upstream_directory& directory,
                                 runtime::time_point now) const;

    /// Returns true, and starts a new probe interval, if a request that fails
    /// `can_cover` should be sent anyway to check whether the domains are
    /// reachable again. Returns false within an interval that has had its
    /// probe.
    [[nodiscard]] bool try_start_probe(runtime::time_point now);

private:
    /// Failed contacts with one domain since it last sent something.
    struct contact_record {
        runtime::time_point first_missed_at;
        runtime::time_point last_missed_at;
        std::uint32_t missed_contacts = 0;
    };

    [[nodiscard]] static bool is_unreachable(const contact_record& record,
                                             runtime::time_point now);

    std::string own_domain_;
    std::map<std::string, contact_record, std::less<>> records_;
    runtime::time_point last_probe_at_;
};

} // namespace tamarackhoist::policy

#endif
