#include "fan_out_parts.hpp"

#include <algorithm>

namespace tamarackhoist::node
{

using policy::attempt_result;

fan_out_parts::fan_out_parts(std::size_t shards)
    : single_answers_(shards), is_merged_(shards, false)
{
}

void fan_out_parts::add(std::size_t shard, std::string digest,
                        std::string records)
{
    auto& single = single_answers_[shard];
    if (!single.has_answer) {
        single = {std::move(digest), std::move(records), true};
    }
}

void fan_out_parts::add(const peers::relay_reply& reply)
{
    std::vector<const peers::relay_part*> answered;
    for (const auto& part : reply.parts) {
        if (part.result == attempt_result::answered &&
            part.shard < single_answers_.size()) {
            answered.push_back(&part);
        }
    }
    if (answered.size() == 1) {
        add(answered.front()->shard, answered.front()->digest, reply.records);
        return;
    }
    const bool overlaps = std::any_of(
        answered.begin(), answered.end(),
        [&](const peers::relay_part* part) { return is_merged_[part->shard]; });
    if (answered.empty() || overlaps) {
        return;
    }
    for (const auto* part : answered) {
        is_merged_[part->shard] = true;
        merged_digests_.push_back(part->digest);
    }
    merged_records_.push_back(reply.records);
}

answer_parts fan_out_parts::collect() const
{
    answer_parts parts;
    parts.digests.assign(merged_digests_.begin(), merged_digests_.end());
    parts.records.assign(merged_records_.begin(), merged_records_.end());
    for (std::size_t shard = 0; shard < single_answers_.size(); ++shard) {
        const auto& single = single_answers_[shard];
        if (!single.has_answer || is_merged_[shard]) {
            continue;
        }
        parts.digests.emplace_back(single.digest);
        parts.records.emplace_back(single.records);
    }
    return parts;
}

} // namespace tamarackhoist::node
