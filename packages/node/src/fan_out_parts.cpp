#include "fan_out_parts.hpp"

#include <algorithm>

namespace tamarackhoist::node
{

using policy::attempt_result;

fan_out_parts::fan_out_parts(std::size_t shards)
    : singles_(shards), is_bundled_(shards, false)
{
}

void fan_out_parts::add(std::size_t shard, std::string digest,
                        std::string records)
{
    auto& single = singles_[shard];
    if (!single.is_in) {
        single = {std::move(digest), std::move(records), true};
    }
}

void fan_out_parts::add(const peers::relay_reply& reply)
{
    std::vector<const peers::relay_part*> answered;
    for (const auto& part : reply.parts) {
        if (part.result == attempt_result::answered &&
            part.shard < singles_.size()) {
            answered.push_back(&part);
        }
    }
    if (answered.size() == 1) {
        add(answered.front()->shard, answered.front()->digest, reply.records);
        return;
    }
    const bool overlaps = std::any_of(answered.begin(), answered.end(),
                                      [&](const peers::relay_part* part) {
                                          return is_bundled_[part->shard];
                                      });
    if (answered.empty() || overlaps) {
        return;
    }
    for (const auto* part : answered) {
        is_bundled_[part->shard] = true;
        bundled_digests_.push_back(part->digest);
    }
    bundled_records_.push_back(reply.records);
}

merged_parts fan_out_parts::merge() const
{
    merged_parts parts;
    parts.digests.assign(bundled_digests_.begin(), bundled_digests_.end());
    parts.records.assign(bundled_records_.begin(), bundled_records_.end());
    for (std::size_t shard = 0; shard < singles_.size(); ++shard) {
        const auto& single = singles_[shard];
        if (!single.is_in || is_bundled_[shard]) {
            continue;
        }
        parts.digests.emplace_back(single.digest);
        parts.records.emplace_back(single.records);
    }
    return parts;
}

} // namespace tamarackhoist::node
