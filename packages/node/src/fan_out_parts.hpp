#ifndef TAMARACKHOIST_NODE_FAN_OUT_PARTS_HPP
#define TAMARACKHOIST_NODE_FAN_OUT_PARTS_HPP

#include "forward_message.hpp"
#include <cstddef>
#include <string>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// The answers of a fan-out as they come in: alone, or several at once with
/// their records merged by a relay. Merged records cannot be told apart, so a
/// shard that came both ways counts where it is merged.
class fan_out_parts
{
public:
    explicit fan_out_parts(std::size_t shards);

    /// Takes the answer of one shard. The first one of a shard stays.
    void add(std::size_t shard, std::string digest, std::string records);

    /// Takes the answers of a relay's reply.
    void add(const peers::relay_reply& reply);

    /// Returns every shard's answer once. Valid until the next change.
    [[nodiscard]] merged_parts merge() const;

private:
    struct single_part {
        std::string digest;
        std::string records;
        bool is_in = false;
    };

    std::vector<single_part> singles_;
    std::vector<bool> is_bundled_;
    std::vector<std::string> bundled_digests_;
    std::vector<std::string> bundled_records_;
};

} // namespace tamarackhoist::node

#endif
