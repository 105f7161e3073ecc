#include <tamarackhoist/policy/store_copy.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

std::vector<store_item> store_copy::merge(std::span<const store_item> items,
                                          std::uint64_t revision)
{
    std::vector<store_item> newer;
    for (const auto& item : items) {
        const auto found = items_.find(item.key);
        const auto known =
            found != items_.end() ? found->second.revision : listed_revision_;
        if (item.revision <= known) {
            continue;
        }
        items_[item.key] = item;
        newer.push_back(item);
    }
    revision_ = std::max(revision_, revision);
    return newer;
}

void store_copy::replace(std::span<const store_item> items,
                         std::uint64_t revision)
{
    std::map<std::string, store_item> next;
    for (const auto& item : items) {
        next[item.key] = item;
    }
    for (auto& [key, current] : items_) {
        const auto found = next.find(key);
        const auto listed =
            found != next.end() ? found->second.revision : revision;
        if (current.revision > listed) {
            next[key] = current;
        }
    }
    items_ = std::move(next);
    revision_ = std::max(revision_, revision);
    listed_revision_ = std::max(listed_revision_, revision);
    is_complete_ = true;
}

std::vector<store_item> store_copy::items() const
{
    std::vector<store_item> all;
    all.reserve(items_.size());
    for (const auto& [key, item] : items_) {
        if (!item.is_removed) {
            all.push_back(item);
        }
    }
    return all;
}

} // namespace tamarackhoist::policy
