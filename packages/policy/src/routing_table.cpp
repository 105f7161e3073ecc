#include <tamarackhoist/policy/routing_table.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

namespace
{

/// Tolerance for rounding errors when coverage is compared with its minimum.
constexpr double coverage_tolerance = 1e-9;

} // namespace

bool route::has_min_coverage(std::size_t answered_shards) const
{
    const auto coverage = static_cast<double>(answered_shards) /
                          static_cast<double>(shards.size());
    return answered_shards > 0 && coverage + coverage_tolerance >= min_coverage;
}

routing_table::routing_table(
    std::uint64_t version, std::vector<route> routes,
    std::map<std::string, service_settings, std::less<>> services,
    request_limits limits)
    : version_(version), routes_(std::move(routes)),
      services_(std::move(services)), limits_(limits)
{
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        by_host_[routes_[index].host].push_back(index);
    }
    for (auto& [host, indexes] : by_host_) {
        std::sort(indexes.begin(), indexes.end(),
                  [&](std::size_t left, std::size_t right) {
                      return routes_[left].prefix.size() >
                             routes_[right].prefix.size();
                  });
    }
}

const route* routing_table::find(std::string_view host,
                                 std::string_view path) const
{
    const auto found = by_host_.find(host);
    if (found == by_host_.end()) {
        return nullptr;
    }
    for (const auto index : found->second) {
        if (path.starts_with(routes_[index].prefix)) {
            return &routes_[index];
        }
    }
    return nullptr;
}

const service_settings*
routing_table::find_service(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace tamarackhoist::policy
