#include <tamarackhoist/policy/key_range_set.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

key_range_set::key_range_set(std::span<const key_range> ranges)
{
    for (const auto& range : ranges) {
        add(range);
    }
}

void key_range_set::add(key_range range)
{
    if (range.empty()) {
        return;
    }
    // The first range that overlaps, adjoins or follows the new one.
    const auto first = std::find_if(
        ranges_.begin(), ranges_.end(),
        [&](const key_range& other) { return other.end >= range.begin; });
    auto last = first;
    while (last != ranges_.end() && last->begin <= range.end) {
        range.begin = std::min(range.begin, last->begin);
        range.end = std::max(range.end, last->end);
        ++last;
    }
    ranges_.insert(ranges_.erase(first, last), range);
}

void key_range_set::add(const key_range_set& other)
{
    for (const auto& range : other.ranges_) {
        add(range);
    }
}

bool key_range_set::contains(key value) const
{
    const auto found =
        std::upper_bound(ranges_.begin(), ranges_.end(), value,
                         [](key position, const key_range& range) {
                             return position < range.end;
                         });
    return found != ranges_.end() && found->contains(value);
}

key key_range_set::size() const
{
    key total = 0;
    for (const auto& range : ranges_) {
        total += range.size();
    }
    return total;
}

key_range_set key_range_set::intersection(key_range bounds) const
{
    key_range_set common;
    for (const auto& range : ranges_) {
        common.add(range.intersection(bounds));
    }
    return common;
}

key_range_set key_range_set::difference(const key_range_set& other) const
{
    key_range_set remaining;
    for (const auto& range : ranges_) {
        auto next = range.begin;
        for (const auto& removed : other.ranges_) {
            const auto overlap = removed.intersection({next, range.end});
            if (overlap.empty()) {
                continue;
            }
            remaining.add({next, overlap.begin});
            next = overlap.end;
        }
        remaining.add({next, range.end});
    }
    return remaining;
}

} // namespace tamarackhoist::policy
