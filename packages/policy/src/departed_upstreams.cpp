#include <tamarackhoist/policy/departed_upstreams.hpp>

namespace tamarackhoist::policy
{

void departed_upstreams::record(const std::string& id, std::uint64_t started_at,
                                bool is_leaving, runtime::time_point now)
{
    std::erase_if(departures_, [&](const auto& each) {
        return now - each.second.at > retention;
    });
    auto& departure = departures_[{id, started_at}];
    departure.is_leaving |= is_leaving;
    departure.at = now;
}

void departed_upstreams::forget(const registered_upstream& entry)
{
    departures_.erase({entry.id, entry.started_at});
}

bool departed_upstreams::contains(const registered_upstream& entry) const
{
    return departures_.contains({entry.id, entry.started_at});
}

bool departed_upstreams::has_left(const registered_upstream& entry) const
{
    const auto found = departures_.find({entry.id, entry.started_at});
    return found != departures_.end() && found->second.is_leaving;
}

std::vector<withdrawn_upstream> departed_upstreams::list() const
{
    std::vector<withdrawn_upstream> all;
    all.reserve(departures_.size());
    for (const auto& [key, departure] : departures_) {
        all.push_back({key.first, key.second, departure.is_leaving});
    }
    return all;
}

} // namespace tamarackhoist::policy
