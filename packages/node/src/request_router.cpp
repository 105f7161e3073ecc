#include <tamarackhoist/node/request_router.hpp>

#include <map>
#include <mutex>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <unordered_map>
#include <utility>

namespace tamarackhoist::node
{

using peers::call_end;
using peers::call_path;

namespace
{

/// Requests of one batch that have no reply yet. Guarantees exactly one reply
/// per request: when the call ends, the remaining ones get a generated reply.
class pending_batch
{
public:
    pending_batch(std::span<const policy::sub_request> requests,
                  reply_handler on_reply)
        : on_reply_(std::move(on_reply))
    {
        for (const auto& request : requests) {
            pending_[request.id] = request.target;
        }
    }

    void on_message(std::string_view message)
    {
        auto reply = peers::decode_sub_reply(message);
        if (!reply) {
            return;
        }
        {
            const std::lock_guard lock(mutex_);
            if (pending_.erase(reply->id) == 0) {
                return;
            }
        }
        on_reply_(std::move(*reply));
    }

    void on_end(call_end end)
    {
        std::unordered_map<policy::request_id, policy::upstream_id> unanswered;
        {
            const std::lock_guard lock(mutex_);
            unanswered.swap(pending_);
        }
        for (const auto& [id, target] : unanswered) {
            policy::sub_reply reply;
            reply.id = id;
            reply.source = target;
            if (end == call_end::not_sent) {
                reply.outcome = policy::sub_outcome::not_run;
                reply.reason = policy::refusal::not_owner;
            } else {
                reply.outcome = policy::sub_outcome::failed;
            }
            on_reply_(std::move(reply));
        }
    }

private:
    std::mutex mutex_;
    std::unordered_map<policy::request_id, policy::upstream_id> pending_;
    const reply_handler on_reply_;
};

} // namespace

request_router::request_router(const cluster& cluster,
                               peer_directory& directory,
                               owner_service& owner_service,
                               policy::node_id self, runtime::clock clock,
                               operators::metrics& metrics)
    : cluster_(cluster), peer_directory_(directory),
      owner_service_(owner_service), self_(self), clock_(std::move(clock)),
      metrics_(metrics)
{
}

void request_router::send(std::span<const policy::sub_request> requests,
                          const reply_handler& on_reply)
{
    const auto view = cluster_.view();
    std::map<policy::node_id, std::vector<policy::sub_request>>
        requests_by_owner;
    for (const auto& request : requests) {
        // A request whose upstream has no known owner is submitted to this
        // node, which refuses it if it does not own the upstream.
        const auto owner =
            view->owners.owner_of(request.target).value_or(self_);
        requests_by_owner[owner].push_back(request);
    }
    for (auto& [owner, batch] : requests_by_owner) {
        const auto member = view->members.find(owner);
        if (owner == self_ || member == view->members.end()) {
            for (auto& request : batch) {
                owner_service_.submit(std::move(request), on_reply);
            }
            continue;
        }
        send_to_peer(member->second, std::move(batch), on_reply);
    }
}

void request_router::send_to_peer(const peers::member& owner,
                                  std::vector<policy::sub_request> requests,
                                  const reply_handler& on_reply)
{
    metrics_.count({"tamarackhoist_peer_batches_total", {}});
    auto batch = std::make_shared<pending_batch>(requests, on_reply);
    peer_directory_.get_or_open_link(owner)->call(
        call_path::sub_requests,
        peers::encode_sub_requests(requests, clock_.now()),
        [batch](std::string_view message) { batch->on_message(message); },
        [batch](call_end end) { batch->on_end(end); });
}

void request_router::cancel(policy::upstream_id target, policy::request_id id)
{
    const auto view = cluster_.view();
    const auto owner = view->owners.owner_of(target);
    const auto member =
        owner ? view->members.find(*owner) : view->members.end();
    if (owner == self_ || member == view->members.end()) {
        owner_service_.cancel(id, target);
        return;
    }
    peer_directory_.get_or_open_link(member->second)
        ->call(
            call_path::cancel, peers::encode_cancel({id, target}),
            [](std::string_view) {}, [](call_end) {});
}

} // namespace tamarackhoist::node
