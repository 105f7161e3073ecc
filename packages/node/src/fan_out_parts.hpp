#ifndef TAMARACKHOIST_NODE_FAN_OUT_PARTS_HPP
#define TAMARACKHOIST_NODE_FAN_OUT_PARTS_HPP

#include "forward_message.hpp"
#include <cstddef>
#include <string>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Collects the answers of a fan-out. Answers arrive individually or in a
/// relay's reply, which holds the merged records of several shards. Merged
/// records cannot be separated again, so for a shard that was answered both
/// ways the individual answer is left out.
class fan_out_parts
{
public:
    explicit fan_out_parts(std::size_t shards);

    /// Adds the answer of one shard. Later answers of a shard are ignored.
    void add(std::size_t shard, std::string digest, std::string records);

    /// Adds the answers in a relay's reply. A merged reply that contains an
    /// already merged shard is ignored.
    void add(const peers::relay_reply& reply);

    /// Returns the answers, with each shard once. The result refers to this
    /// object and is valid until the next `add`.
    [[nodiscard]] answer_parts collect() const;

private:
    struct single_answer {
        std::string digest;
        std::string records;
        bool has_answer = false;
    };

    std::vector<single_answer> single_answers_;
    std::vector<bool> is_merged_;
    std::vector<std::string> merged_digests_;
    std::vector<std::string> merged_records_;
};

} // namespace tamarackhoist::node

#endif
