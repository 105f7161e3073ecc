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

/// Sends parts of other nodes' fan-outs to upstreams. Which upstream is
/// asked, and when an attempt is given up, is the sender's decision; this
/// side only owns the connections and merges the records.
class relay_server
{
public:
    explicit relay_server(std::shared_ptr<forwarding> shared);
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// Takes a call of a peer, or its cancellation.
    void take_call(const std::shared_ptr<peers::incoming_call>& call);

    /// Calls whose attempts have not all ended.
    [[nodiscard]] std::size_t open_calls() const { return calls_.size(); }

private:
    using call_key = std::pair<std::uint64_t, std::uint64_t>;

    const std::shared_ptr<forwarding> shared_;
    std::map<call_key, std::shared_ptr<relayed_call>> calls_;
};

} // namespace tamarackhoist::node

#endif
