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

    /// Returns the domains that are unreachable; never this node's own domain,
    /// nor one without any records.
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

    /// Sets the number of live nodes in this node's own failure domain, itself
    /// included. They share the rate of probes.
    void set_own_domain_nodes(std::size_t count);

    /// Returns true, and starts a new probe interval, if a request that fails
    /// `can_cover` should be sent anyway to check whether the domains are
    /// reachable again. The nodes of this failure domain send about one probe a
    /// second together: most requests would be probes if each of many nodes
    /// sent its own.
    [[nodiscard]] bool try_start_probe(runtime::time_point now);

    /// Returns the domains whose nodes should be pinged now: those that are
    /// unreachable, and those where a contact failed just now. For the latter,
    /// a ping without an answer until the next call counts as a failed contact,
    /// so that a loss is noticed soon even if few requests reach this node. To
    /// be called periodically.
    [[nodiscard]] std::vector<std::string>
    domains_to_ping(runtime::time_point now);

private:
    /// Failed contacts with one domain since it last sent something.
    struct contact_record {
        runtime::time_point first_missed_at;
        runtime::time_point last_missed_at;
        std::uint32_t missed_contacts = 0;
        /// Whether a ping was sent that has not been answered.
        bool is_ping_open = false;
    };

    [[nodiscard]] static bool is_unreachable(const contact_record& record,
                                             runtime::time_point now);
    [[nodiscard]] static bool is_suspected(const contact_record& record,
                                           runtime::time_point now);
    static void add_miss(contact_record& record, runtime::time_point now);

    std::string own_domain_;
    std::size_t own_domain_nodes_ = 1;
    std::map<std::string, contact_record, std::less<>> records_;
    runtime::time_point last_probe_at_;
};

} // namespace tamarackhoist::policy

#endif
