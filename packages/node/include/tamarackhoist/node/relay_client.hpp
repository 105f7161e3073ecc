#ifndef TAMARACKHOIST_NODE_RELAY_CLIENT_HPP
#define TAMARACKHOIST_NODE_RELAY_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tamarackhoist/node/peer_group.hpp>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <tamarackhoist/policy/domain_reach.hpp>
#include <tamarackhoist/policy/relay_directory.hpp>

namespace tamarackhoist::node
{

/// One call to a relay. Identifies it for `cancel`.
struct relay_call_id {
    policy::node_id peer;
    std::uint64_t call = 0;
};

/// Passes parts of fan-outs to nodes near the upstreams.
class relay_client
{
public:
    struct handlers {
        std::function<void(peers::relay_reply)> on_reply;
        /// No further reply will come. False if the connection failed.
        std::function<void(bool is_clean)> on_end;
    };

    /// `reach` must outlive this.
    relay_client(std::string failure_domain, std::uint32_t capacity,
                 std::uint64_t incarnation, runtime::clock clock,
                 policy::domain_reach& reach);

    /// `peers` must outlive this.
    void start(peer_group& peers) { peers_ = &peers; }
    void members_changed();

    /// Returns the node through which upstreams of `domain` are reached, or
    /// nothing if this node reaches them itself.
    [[nodiscard]] std::optional<policy::node_id> choose(std::string_view domain,
                                                        std::size_t shards);

    relay_call_id call(policy::node_id peer, peers::relay_request request,
                       handlers handle);

    /// Gives up shards of a call; every shard if none is named.
    void cancel(relay_call_id id, std::vector<std::uint32_t> shards);

    /// The relay did not answer in time.
    void report_silence(relay_call_id id, std::string_view request_id,
                        runtime::duration waited);

private:
    /// A peer that was ever live.
    struct known_peer {
        std::string name;
        std::string failure_domain;
    };

    void record_failure(policy::node_id peer);

    peer_group* peers_ = nullptr;
    policy::relay_directory directory_;
    policy::domain_reach& reach_;
    const std::uint64_t incarnation_;
    const runtime::clock clock_;
    std::uint64_t next_call_ = 1;
    std::map<policy::node_id, known_peer> known_;
};

} // namespace tamarackhoist::node

#endif
