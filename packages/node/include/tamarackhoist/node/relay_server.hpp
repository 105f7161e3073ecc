#ifndef TAMARACKHOIST_NODE_RELAY_SERVER_HPP
#define TAMARACKHOIST_NODE_RELAY_SERVER_HPP

#include <map>
#include <memory>
#include <tamarackhoist/node/forwarding.hpp>
#include <tamarackhoist/peers/peer_server.hpp>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <utility>

namespace tamarackhoist::node
{

class relayed_call;

/// Relays parts of other nodes' fan-outs to upstreams. The calling node
/// chooses the upstreams and cancels attempts; this side only owns the
/// connections and merges the records.
class relay_server
{
public:
    explicit relay_server(std::shared_ptr<forwarding> shared);
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// Handles a peer's relay call or its cancellation.
    void handle_call(const std::shared_ptr<peers::incoming_call>& call);

    /// Returns the number of calls that have unfinished attempts.
    [[nodiscard]] std::size_t open_call_count() const { return calls_.size(); }

private:
    /// Incarnation of the calling node, and its number of the call.
    using call_key = std::pair<std::uint64_t, std::uint64_t>;

    const std::shared_ptr<forwarding> shared_;
    std::map<call_key, std::shared_ptr<relayed_call>> calls_;
};

} // namespace tamarackhoist::node

#endif
