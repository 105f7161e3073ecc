#include <tamarackhoist/policy/domain_reach.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

using runtime::duration;
using runtime::time_point;
using namespace std::chrono_literals;

namespace
{

/// Misses in a row that a lost message and a paused node do not explain.
constexpr std::uint32_t least_misses = 3;
/// Time over which they must spread. After a pause of this process, late
/// timers report many at once.
constexpr duration least_spread = 300ms;
/// Without further misses a domain is taken to be within reach again: its
/// nodes may be dead, and its upstreams alive.
constexpr duration longest_doubt = 8s;
/// Interval of the requests that are tried all the same.
constexpr duration trial_interval = 1s;

} // namespace

domain_reach::domain_reach(std::string own_domain)
    : own_domain_(std::move(own_domain))
{
}

void domain_reach::record_heard(std::string_view domain)
{
    const auto found = records_.find(domain);
    auto& each =
        found != records_.end() ? found->second : records_[std::string(domain)];
    each = {};
}

void domain_reach::record_missed(std::string_view domain, time_point now)
{
    const auto found = records_.find(domain);
    if (found == records_.end()) {
        // Never heard: a domain that is starting, not one that was lost.
        return;
    }
    auto& each = found->second;
    if (each.misses == 0) {
        each.first_missed_at = now;
    }
    each.last_missed_at = now;
    ++each.misses;
}

bool domain_reach::is_silent(const record& each, time_point now)
{
    if (each.misses < least_misses ||
        each.last_missed_at - each.first_missed_at < least_spread) {
        return false;
    }
    return now - each.last_missed_at < longest_doubt;
}

bool domain_reach::take_trial(time_point now)
{
    if (now - tried_at_ < trial_interval) {
        return false;
    }
    tried_at_ = now;
    return true;
}

bool domain_reach::is_reached(std::string_view domain, time_point now) const
{
    if (domain == own_domain_) {
        return true;
    }
    const auto found = records_.find(domain);
    return found == records_.end() || !is_silent(found->second, now);
}

std::vector<std::string> domain_reach::unreached(time_point now) const
{
    std::vector<std::string> domains;
    for (const auto& [domain, each] : records_) {
        if (domain != own_domain_ && is_silent(each, now)) {
            domains.push_back(domain);
        }
    }
    return domains;
}

bool domain_reach::is_in_minority(time_point now) const
{
    const auto others = records_.size() - records_.count(own_domain_);
    const auto lost = unreached(now).size();
    const auto reached = others - lost + 1;
    return 2 * reached < others + 1;
}

bool domain_reach::can_cover(const route& of,
                             const upstream_directory& directory,
                             time_point now) const
{
    const auto lost = unreached(now);
    if (lost.empty() || !of.is_fan_out()) {
        return true;
    }
    const auto is_within_reach = [&](const upstream_handle& upstream) {
        const auto& domain = upstream->registration.failure_domain;
        return std::find(lost.begin(), lost.end(), domain) == lost.end();
    };
    const auto covered = std::count_if(
        of.shards.begin(), of.shards.end(), [&](const std::string& shard) {
            const auto ready = directory.ready(shard);
            return std::any_of(ready.begin(), ready.end(), is_within_reach);
        });
    return of.is_covered_by(static_cast<std::size_t>(covered));
}

} // namespace tamarackhoist::policy
