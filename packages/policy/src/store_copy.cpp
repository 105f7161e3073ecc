#include <tamarackhoist/policy/store_copy.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

std::vector<store_item> store_copy::merge(std::span<const store_item> items,
                                          store_position position)
{
    if (is_complete_ && position.era() != position_.era()) {
        return {};
    }
    std::vector<store_item> newer;
    for (const auto& item : items) {
        const auto found = items_.find(item.key);
        const auto known =
            found != items_.end() ? found->second.position : listed_position_;
        if (item.position <= known) {
            continue;
        }
        items_[item.key] = item;
        newer.push_back(item);
    }
    position_ = std::max(position_, position);
    return newer;
}

bool store_copy::replace(std::span<const store_item> items,
                         store_position position)
{
    if (position.era() < position_.era()) {
        return false;
    }
    if (position <= listed_position_) {
        // What the list that is held lacks has been removed.
        merge(items, position);
        return true;
    }
    std::map<std::string, store_item> next;
    for (const auto& item : items) {
        next[item.key] = item;
    }
    for (auto& [key, current] : items_) {
        const auto found = next.find(key);
        const auto listed =
            found != next.end() ? found->second.position : position;
        if (current.position > listed) {
            next[key] = current;
        }
    }
    items_ = std::move(next);
    position_ = std::max(position_, position);
    listed_position_ = std::max(listed_position_, position);
    is_complete_ = true;
    return true;
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
