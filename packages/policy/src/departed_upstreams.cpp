#include <tamarackhoist/policy/departed_upstreams.hpp>

namespace tamarackhoist::policy
{

void departed_upstreams::record(const std::string& id, std::uint64_t started_at,
                                const notice& said, runtime::time_point now)
{
    std::erase_if(departures_, [&](const auto& each) {
        return now - each.second.at > retention;
    });
    auto& departure = departures_[{id, started_at}];
    const bool is_leaving = departure.said.is_leaving || said.is_leaving;
    departure.said = said;
    departure.said.is_leaving = is_leaving;
    departure.at = now;
}

void departed_upstreams::record_leaving(const registered_upstream& entry)
{
    const auto found = departures_.find({entry.id, entry.started_at});
    if (found != departures_.end()) {
        found->second.said.is_leaving = true;
    }
}

void departed_upstreams::forget(const registered_upstream& entry)
{
    departures_.erase({entry.id, entry.started_at});
}

bool departed_upstreams::contains(const registered_upstream& entry) const
{
    return departures_.contains({entry.id, entry.started_at});
}

departed_upstreams::notice
departed_upstreams::find_notice(const registered_upstream& entry) const
{
    const auto found = departures_.find({entry.id, entry.started_at});
    return found == departures_.end() ? notice{} : found->second.said;
}

std::vector<withdrawn_upstream> departed_upstreams::list() const
{
    std::vector<withdrawn_upstream> all;
    all.reserve(departures_.size());
    for (const auto& [key, departure] : departures_) {
        all.push_back({key.first, key.second, departure.said.is_leaving});
    }
    return all;
}

} // namespace tamarackhoist::policy
