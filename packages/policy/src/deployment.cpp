#include <tamarackhoist/policy/deployment.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::policy
{

std::span<const shard> deployment::shards_of_index(std::string_view index) const
{
    const auto found = shards_by_index_.find(index);
    if (found == shards_by_index_.end()) {
        return {};
    }
    return found->second;
}

std::span<const shard>
deployment::shards_of_service(std::string_view name) const
{
    const auto found = shards_by_service_.find(name);
    if (found == shards_by_service_.end()) {
        return {};
    }
    return found->second;
}

const upstream* deployment::find_upstream(upstream_id id) const
{
    const auto found = upstream_positions_.find(id);
    return found == upstream_positions_.end() ? nullptr
                                              : &upstreams_[found->second];
}

const caller* deployment::find_caller(std::string_view name) const
{
    const auto found = callers_.find(name);
    return found == callers_.end() ? nullptr : &found->second;
}

const service* deployment::find_service(std::string_view name) const
{
    const auto found = std::find_if(
        services_.begin(), services_.end(),
        [&](const service& candidate) { return candidate.name == name; });
    return found == services_.end() ? nullptr : &*found;
}

deployment::builder& deployment::builder::epoch(std::uint64_t value)
{
    value_.epoch_ = value;
    return *this;
}

deployment::builder& deployment::builder::add(priority_class value)
{
    value_.classes_.push_back(std::move(value));
    return *this;
}

deployment::builder& deployment::builder::add(service value)
{
    value_.services_.push_back(std::move(value));
    return *this;
}

deployment::builder& deployment::builder::add(upstream value)
{
    value.id = upstream_id::from_name(value.name);
    value_.upstreams_.push_back(std::move(value));
    return *this;
}

deployment::builder& deployment::builder::add(shard value)
{
    if (!value.index.empty()) {
        value_.shards_by_index_[value.index].push_back(value);
    }
    value_.shards_by_service_[value.service].push_back(std::move(value));
    return *this;
}

deployment::builder& deployment::builder::add(caller value)
{
    auto name = value.name;
    value_.callers_.insert_or_assign(std::move(name), std::move(value));
    return *this;
}

deployment_pointer deployment::builder::build()
{
    std::ranges::stable_sort(value_.classes_, {}, &priority_class::rank);
    for (auto& [name, shards] : value_.shards_by_index_) {
        std::ranges::sort(shards, {}, &shard::range);
    }
    for (std::size_t position = 0; position < value_.upstreams_.size();
         ++position) {
        value_.upstream_positions_[value_.upstreams_[position].id] = position;
    }
    return std::make_shared<const deployment>(std::move(value_));
}

} // namespace tamarackhoist::policy
