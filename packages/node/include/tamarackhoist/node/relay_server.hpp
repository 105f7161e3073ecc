#ifndef TAMARACKHOIST_NODE_RELAY_SERVER_HPP
#define TAMARACKHOIST_NODE_RELAY_SERVER_HPP

#include <cstddef>
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
    /// `max_bytes` limits the memory that open calls hold together. A call
    /// that is alone is always handled.
    relay_server(std::shared_ptr<forwarding> shared, std::size_t max_bytes);
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
    struct open_call {
        std::shared_ptr<relayed_call> call;
        std::size_t bytes = 0;
    };

    void end_call(call_key key);
    /// Replies that none of the request's attempts was sent.
    static void refuse(const peers::incoming_call& call,
                       const peers::relay_request& request);

    const std::shared_ptr<forwarding> shared_;
    const std::size_t max_bytes_;
    /// Estimated memory of all open calls.
    std::size_t held_bytes_ = 0;
    std::map<call_key, open_call> calls_;
};

} // namespace tamarackhoist::node

#endif
