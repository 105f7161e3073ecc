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

/// Requests of one batch that have no reply yet. Whatever happens to the
/// connection, each gets exactly one.
class open_batch
{
public:
    open_batch(std::span<const policy::sub_request> requests,
               reply_handler on_reply)
        : on_reply_(std::move(on_reply))
    {
        for (const auto& each : requests) {
            open_[each.id] = each.target;
        }
    }

    void on_message(std::string_view message)
    {
        auto reply = peers::decode_sub_reply(message);
        if (!reply) {
            return;
        }
        {
            const std::lock_guard guard(mutex_);
            if (open_.erase(reply->id) == 0) {
                return;
            }
        }
        on_reply_(std::move(*reply));
    }

    void on_end(call_end end)
    {
        std::unordered_map<policy::request_id, policy::upstream_id> rest;
        {
            const std::lock_guard guard(mutex_);
            rest.swap(open_);
        }
        for (const auto& [id, target] : rest) {
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
    std::unordered_map<policy::request_id, policy::upstream_id> open_;
    const reply_handler on_reply_;
};

} // namespace

request_router::request_router(const cluster& members, peer_directory& links,
                               owner_service& owners, policy::node_id self,
                               runtime::clock time,
                               operators::metrics& measured)
    : cluster_(members), links_(links), owners_(owners), self_(self),
      time_(std::move(time)), metrics_(measured)
{
}

void request_router::send(std::span<const policy::sub_request> requests,
                          const reply_handler& on_reply)
{
    const auto view = cluster_.view();
    std::map<policy::node_id, std::vector<policy::sub_request>> by_owner;
    for (const auto& each : requests) {
        // A request without a known owner is tried here, and refused here
        // when this node does not own the upstream either.
        const auto owner = view->owners.owner_of(each.target).value_or(self_);
        by_owner[owner].push_back(each);
    }
    for (auto& [owner, batch] : by_owner) {
        const auto member = view->members.find(owner);
        if (owner == self_ || member == view->members.end()) {
            for (auto& each : batch) {
                owners_.submit(std::move(each), on_reply);
            }
            continue;
        }
        send_remote(member->second, std::move(batch), on_reply);
    }
}

void request_router::send_remote(const peers::member& owner,
                                 std::vector<policy::sub_request> requests,
                                 const reply_handler& on_reply)
{
    metrics_.count({"tamarackhoist_peer_batches_total", {}});
    auto batch = std::make_shared<open_batch>(requests, on_reply);
    links_.get_or_open_link(owner)->call(
        call_path::sub_requests,
        peers::encode_sub_requests(requests, time_.now()),
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
        owners_.cancel(id, target);
        return;
    }
    links_.get_or_open_link(member->second)
        ->call(
            call_path::cancel, peers::encode_cancel({id, target}),
            [](std::string_view) {}, [](call_end) {});
}

} // namespace tamarackhoist::node
