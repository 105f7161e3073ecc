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

/// Identifier of a call to a relay.
struct relay_call_id {
    policy::node_id peer;
    /// Number of the call, unique among the calls of this process.
    std::uint64_t call = 0;
};

/// Sends parts of fan-outs through relays, which are nodes in the failure
/// domain of the upstreams.
class relay_client
{
public:
    struct handlers {
        std::function<void(peers::relay_reply)> on_reply;
        /// Called once, after the last reply. `is_clean` is false if the
        /// connection failed.
        std::function<void(bool is_clean)> on_end;
    };

    /// `capacity` is this node's share of a core in thousandths. `reach` must
    /// outlive this object.
    relay_client(std::string failure_domain, std::uint32_t capacity,
                 std::uint64_t incarnation, runtime::clock clock,
                 policy::domain_reach& reach);

    /// `peers` must outlive this object.
    void start(peer_group& peers) { peers_ = &peers; }
    /// To be called when the live peers have changed.
    void update_members();

    /// Returns the node through which to send `shards` shards to upstreams of
    /// `domain`, or nothing if this node is to send them itself.
    [[nodiscard]] std::optional<policy::node_id>
    choose_relay(std::string_view domain, std::size_t shards);

    /// Calls a relay. Sets the sender and the call number of `request`.
    relay_call_id call(policy::node_id peer, peers::relay_request request,
                       handlers callbacks);

    /// Cancels `shards` of a call, or all of its shards if `shards` is empty.
    void cancel(relay_call_id id, std::vector<std::uint32_t> shards);

    /// Records and logs that a relay did not reply within `waited`.
    void report_timeout(relay_call_id id, std::string_view request_id,
                        runtime::duration waited);

private:
    /// A peer that is live or was live earlier.
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
    std::map<policy::node_id, known_peer> known_peers_;
};

} // namespace tamarackhoist::node

#endif
