#include <algorithm>
#include <tamarackhoist/peers/membership.hpp>

/// The part of the membership that doubts this node's own view of others while
/// it may be cut off from them.
namespace tamarackhoist::peers
{

namespace
{

/// Failures declared this long before the node found itself in a minority are
/// doubtful, too: probes fail as soon as the partition begins.
constexpr runtime::duration doubt_before_minority = std::chrono::seconds(3);
/// Time in which the other nodes of the domain take back their failures, too.
constexpr runtime::duration take_back_time = std::chrono::seconds(2);

} // namespace

bool membership::is_remote(const member& other) const
{
    return other.failure_domain != self_.failure_domain;
}

bool membership::is_remote(const transport::endpoint& target) const
{
    const auto found = std::ranges::find_if(peers_, [&](const auto& entry) {
        return entry.second.description.endpoint == target;
    });
    return found == peers_.end() || is_remote(found->second.description);
}

bool membership::is_remote_failure(const member& other) const
{
    const bool has_failed = other.state == member_state::suspect ||
                            other.state == member_state::dead;
    return has_failed && is_remote(other);
}

void membership::set_in_minority(bool is_in_minority, runtime::time_point now)
{
    if (is_in_minority == is_in_minority_) {
        return;
    }
    is_in_minority_ = is_in_minority;
    doubts_until_ = now + take_back_time;
    if (!is_in_minority) {
        return;
    }
    for (auto& [name, peer] : peers_) {
        peer.is_doubtful = is_remote_failure(peer.description) &&
                           now - peer.changed_at <= doubt_before_minority;
        has_doubtful_members_ = has_doubtful_members_ || peer.is_doubtful;
    }
}

void membership::record_change(peer_record& peer, runtime::time_point now)
{
    peer.changed_at = now;
    peer.remaining_sends = sends_per_update();
    const bool doubts_itself = is_in_minority_ || now < doubts_until_;
    peer.is_doubtful = doubts_itself && is_remote_failure(peer.description);
    has_doubtful_members_ = has_doubtful_members_ || peer.is_doubtful;
}

bool membership::repeats_doubt(const member& update,
                               runtime::time_point now) const
{
    return now < taken_back_until_ && is_remote_failure(update);
}

void membership::take_back_failures(const member& sender,
                                    runtime::time_point now)
{
    const auto found = peers_.find(sender.name);
    if (found == peers_.end() || !found->second.is_doubtful ||
        found->second.description.incarnation != sender.incarnation) {
        return;
    }
    taken_back_until_ = now + take_back_time;
    has_doubtful_members_ = false;
    for (auto& [name, peer] : peers_) {
        const auto& domain = peer.description.failure_domain;
        if (!peer.is_doubtful) {
            continue;
        }
        if (domain != sender.failure_domain) {
            has_doubtful_members_ = true;
            continue;
        }
        const auto before = peer.description.state;
        peer.description.state = member_state::alive;
        peer.changed_at = now;
        // The other side never doubted these members, so it is told nothing.
        peer.remaining_sends = 0;
        peer.is_doubtful = false;
        hooks_.on_transition(peer.description, before);
    }
    hooks_.on_change();
}

} // namespace tamarackhoist::peers
