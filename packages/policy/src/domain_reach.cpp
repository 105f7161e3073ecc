#include <tamarackhoist/policy/domain_reach.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// Consecutive failed contacts before a domain counts as unreachable; fewer
/// can result from a lost message or a paused node.
constexpr std::uint32_t min_missed_contacts = 3;
/// Minimum time between the first and the last of these contacts. After a
/// pause of this process, late timers report many failures at once.
constexpr duration min_missed_span = 300ms;
/// Time after the last failed contact until a domain counts as reachable
/// again: its nodes may be dead while its upstreams are alive.
constexpr duration unreachable_expiry = 8s;
/// Interval of the probe requests that the nodes of a failure domain together
/// send despite insufficient coverage.
constexpr duration probe_interval = 1s;
/// Time after a failed contact in which pings find out whether the domain is
/// lost.
constexpr duration suspicion_time = 1s;

} // namespace

domain_reach::domain_reach(std::string own_domain)
    : own_domain_(std::move(own_domain))
{
}

void domain_reach::record_contact(std::string_view domain)
{
    const auto found = records_.find(domain);
    auto& record =
        found != records_.end() ? found->second : records_[std::string(domain)];
    record = {};
}

void domain_reach::record_missed_contact(std::string_view domain,
                                         time_point now)
{
    const auto found = records_.find(domain);
    if (found == records_.end()) {
        // Never heard from: the domain may still be starting, so it does not
        // count as lost.
        return;
    }
    add_miss(found->second, now);
}

void domain_reach::add_miss(contact_record& record, time_point now)
{
    if (record.missed_contacts == 0) {
        record.first_missed_at = now;
    }
    record.last_missed_at = now;
    ++record.missed_contacts;
}

bool domain_reach::is_suspected(const contact_record& record, time_point now)
{
    return record.missed_contacts > 0 && !is_unreachable(record, now) &&
           now - record.last_missed_at <= suspicion_time;
}

bool domain_reach::is_unreachable(const contact_record& record, time_point now)
{
    if (record.missed_contacts < min_missed_contacts ||
        record.last_missed_at - record.first_missed_at < min_missed_span) {
        return false;
    }
    return now - record.last_missed_at < unreachable_expiry;
}

void domain_reach::set_own_domain_nodes(std::size_t count)
{
    own_domain_nodes_ = std::max<std::size_t>(1, count);
}

bool domain_reach::try_start_probe(time_point now)
{
    // The failed contacts that showed the loss were as good as a probe.
    auto last_probe_at = last_probe_at_;
    for (const auto& [domain, record] : records_) {
        if (is_unreachable(record, now)) {
            last_probe_at = std::max(last_probe_at, record.first_missed_at);
        }
    }
    const auto interval =
        probe_interval * static_cast<std::int64_t>(own_domain_nodes_);
    if (now - last_probe_at < interval) {
        return false;
    }
    last_probe_at_ = now;
    return true;
}

std::vector<std::string> domain_reach::domains_to_ping(time_point now)
{
    std::vector<std::string> domains;
    for (auto& [domain, record] : records_) {
        if (domain == own_domain_) {
            continue;
        }
        const bool is_in_doubt = is_suspected(record, now);
        if (is_in_doubt && record.is_ping_open) {
            add_miss(record, now);
        }
        record.is_ping_open = is_in_doubt;
        if (is_in_doubt || is_unreachable(record, now)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

std::vector<std::string> domain_reach::unreachable_domains(time_point now) const
{
    std::vector<std::string> domains;
    for (const auto& [domain, record] : records_) {
        if (domain != own_domain_ && is_unreachable(record, now)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool domain_reach::is_in_minority(time_point now) const
{
    const auto other_domains = records_.size() - records_.count(own_domain_);
    const auto unreachable = unreachable_domains(now).size();
    const auto reachable = other_domains - unreachable + 1;
    return 2 * reachable < other_domains + 1;
}

bool domain_reach::can_cover(const route& route,
                             const upstream_directory& directory,
                             time_point now) const
{
    const auto unreachable = unreachable_domains(now);
    if (unreachable.empty() || !route.is_fan_out()) {
        return true;
    }
    const auto is_reachable = [&](const upstream_handle& upstream) {
        if (!upstream->permission(now).is_granted()) {
            return false;
        }
        const auto& domain = upstream->registration.failure_domain;
        return std::find(unreachable.begin(), unreachable.end(), domain) ==
               unreachable.end();
    };
    const auto covered_shards = std::count_if(
        route.shards.begin(), route.shards.end(),
        [&](const std::string& shard) {
            const auto ready = directory.find_ready(shard);
            return std::any_of(ready.begin(), ready.end(), is_reachable);
        });
    return route.has_min_coverage(static_cast<std::size_t>(covered_shards));
}

} // namespace tamarackhoist::policy
