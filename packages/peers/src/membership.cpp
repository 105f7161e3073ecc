#include <tamarackhoist/peers/membership.hpp>

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace tamarackhoist::peers
{

namespace
{

constexpr runtime::duration seed_ping_interval = std::chrono::seconds(1);
constexpr std::size_t max_seed_pings_per_round = 4;
constexpr std::size_t max_drains_per_message = 8;
constexpr std::size_t max_relayed_probes = 1024;

} // namespace

membership::membership(member self, membership_settings settings,
                       hooks callbacks, std::uint64_t random_seed)
    : self_(std::move(self)), settings_(settings), hooks_(std::move(callbacks)),
      random_(random_seed)
{
    assert(hooks_.send && hooks_.on_change && hooks_.on_transition &&
           hooks_.on_digest_mismatch && hooks_.on_drain && hooks_.on_ack &&
           hooks_.request_members);
}

bool membership::is_live(const member& peer)
{
    return peer.state != member_state::dead;
}

void membership::add_seed(const transport::endpoint& seed)
{
    if (seed == self_.endpoint ||
        std::ranges::find(seeds_, seed) != seeds_.end()) {
        return;
    }
    seeds_.push_back(seed);
}

void membership::tick(runtime::time_point now)
{
    expire_records(now);
    check_probe(now);
    ping_seeds(now);
    exchange_members(now);
    if (now - last_probe_at_ >= settings_.probe_interval) {
        last_probe_at_ = now;
        start_probe(now);
    }
}

void membership::start_probe(runtime::time_point now)
{
    const auto target = next_probe_target();
    if (!target) {
        return;
    }
    const auto sequence = next_sequence_++;
    probes_.push_back({*target, sequence, now, false});
    send(target->endpoint, gossip_kind::ping, sequence);
}

std::optional<member> membership::next_probe_target()
{
    if (probe_order_.empty()) {
        std::vector<std::string> names;
        for (const auto& [name, peer] : peers_) {
            if (!is_live(peer.description)) {
                continue;
            }
            names.push_back(name);
        }
        std::ranges::shuffle(names, random_);
        probe_order_.assign(names.begin(), names.end());
    }
    // Most probes stay in this node's failure domain, where they are cheap and
    // where ownership has to move quickly after a failure. The others connect
    // the gossip of the failure domains.
    ++probe_count_;
    const bool is_remote_probe =
        probe_count_ % settings_.probes_per_remote_probe == 0;
    const auto is_eligible = [&](const std::string& name) {
        const auto found = peers_.find(name);
        if (found == peers_.end()) {
            return false;
        }
        return is_remote(found->second.description) == is_remote_probe;
    };
    auto chosen = std::ranges::find_if(probe_order_, is_eligible);
    if (chosen == probe_order_.end()) {
        chosen = probe_order_.begin();
    }
    if (chosen == probe_order_.end()) {
        return std::nullopt;
    }
    const auto found = peers_.find(*chosen);
    probe_order_.erase(chosen);
    if (found == peers_.end() || !is_live(found->second.description)) {
        return std::nullopt;
    }
    return found->second.description;
}

void membership::check_probe(runtime::time_point now)
{
    std::vector<probe> kept;
    for (auto& pending : probes_) {
        const auto age = now - pending.sent_at;
        if (age >= settings_.probe_interval + settings_.direct_probe_timeout) {
            const auto found = peers_.find(pending.target.name);
            if (found != peers_.end()) {
                on_probe_failed(found->second, now);
            }
            continue;
        }
        if (age >= settings_.direct_probe_timeout && !pending.is_indirect) {
            pending.is_indirect = true;
            auto helpers = random_peers(settings_.indirect_probe_count + 1);
            std::erase_if(helpers, [&](const member& helper) {
                return helper.name == pending.target.name;
            });
            if (helpers.size() > settings_.indirect_probe_count) {
                helpers.pop_back();
            }
            for (const auto& helper : helpers) {
                send(helper.endpoint, gossip_kind::ping_request,
                     pending.sequence, pending.target);
            }
        }
        kept.push_back(pending);
    }
    probes_ = std::move(kept);
}

void membership::on_probe_failed(peer_record& target, runtime::time_point now)
{
    if (target.description.state == member_state::leaving) {
        // It announced that it would stop, so it skips the suspicion phase.
        set_state(target, member_state::dead, now);
        return;
    }
    if (target.description.state != member_state::alive) {
        return;
    }
    set_state(target, member_state::suspect, now);
    // Tells the suspected member, so that it can refute.
    send(target.description.endpoint, gossip_kind::ping, next_sequence_++,
         target.description);
}

void membership::expire_records(runtime::time_point now)
{
    std::vector<std::string> expired;
    for (auto& [name, peer] : peers_) {
        const auto age = now - peer.changed_at;
        const auto state = peer.description.state;
        if (state == member_state::suspect &&
            age >= settings_.suspicion_timeout) {
            set_state(peer, member_state::dead, now);
        } else if (state == member_state::dead &&
                   age >= settings_.dead_retention) {
            expired.push_back(name);
        }
    }
    for (const auto& name : expired) {
        peers_.erase(name);
    }
    std::erase_if(relayed_probes_, [&](const auto& entry) {
        return entry.second.expires_at <= now;
    });
}

void membership::exchange_members(runtime::time_point now)
{
    const bool has_grown = peers_.size() > peer_count_at_exchange_;
    const auto interval = has_grown ? settings_.join_exchange_interval
                                    : settings_.exchange_interval;
    if (now - last_exchange_at_ < interval) {
        return;
    }
    const auto peers = random_peers(1);
    if (peers.empty()) {
        return;
    }
    last_exchange_at_ = now;
    peer_count_at_exchange_ = peers_.size();
    hooks_.request_members(peers.front());
}

void membership::merge(std::span<const member> updates, runtime::time_point now)
{
    for (const auto& update : updates) {
        apply(update, now);
    }
}

void membership::ping_random_peers()
{
    for (const auto& peer : random_peers(settings_.indirect_probe_count)) {
        send(peer.endpoint, gossip_kind::ping, next_sequence_++);
    }
}

void membership::ping_domain(std::string_view failure_domain)
{
    std::vector<member> targets;
    for (const auto& [name, peer] : peers_) {
        if (peer.description.failure_domain == failure_domain) {
            targets.push_back(peer.description);
        }
    }
    std::ranges::shuffle(targets, random_);
    targets.resize(std::min(targets.size(), settings_.indirect_probe_count));
    for (const auto& target : targets) {
        send(target.endpoint, gossip_kind::ping, next_sequence_++);
    }
}

void membership::ping_seeds(runtime::time_point now)
{
    if (seeds_.empty() || now - last_seed_ping_at_ < seed_ping_interval) {
        return;
    }
    last_seed_ping_at_ = now;
    // Seeds that are live members are probed anyway. Other seeds and dead
    // members are pinged periodically, which joins the two sides of a healed
    // partition.
    struct ping_target {
        transport::endpoint endpoint;
        std::optional<member> known;
    };
    std::vector<ping_target> targets;
    for (const auto& seed : seeds_) {
        const bool is_live_member =
            std::ranges::any_of(peers_, [&](const auto& peer) {
                const auto& description = peer.second.description;
                return description.endpoint == seed && is_live(description);
            });
        if (!is_live_member) {
            targets.push_back({seed, std::nullopt});
        }
    }
    for (const auto& [name, peer] : peers_) {
        if (peer.description.state == member_state::dead) {
            targets.push_back({peer.description.endpoint, peer.description});
        }
    }
    std::ranges::shuffle(targets, random_);
    if (targets.size() > max_seed_pings_per_round) {
        targets.erase(targets.begin() + max_seed_pings_per_round,
                      targets.end());
    }
    for (const auto& target : targets) {
        // A member that is wrongly recorded as dead learns of it and refutes.
        send(target.endpoint, gossip_kind::ping, next_sequence_++,
             target.known);
    }
}

void membership::send(const transport::endpoint& target, gossip_kind kind,
                      std::uint64_t sequence, std::optional<member> subject)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = self_;
    message.subject = std::move(subject);
    message.updates = next_updates(target);
    message.digest = digest_;
    for (auto& [upstream, drain] : drains_) {
        if (drain.remaining_sends == 0 ||
            message.drains.size() >= max_drains_per_message) {
            continue;
        }
        --drain.remaining_sends;
        message.drains.push_back(drain.update);
    }
    hooks_.send(target, message);
}

std::uint32_t membership::sends_per_update() const
{
    const auto doublings = std::bit_width(peers_.size() + 1);
    return settings_.sends_per_doubling * static_cast<std::uint32_t>(doublings);
}

std::vector<member> membership::next_updates(const transport::endpoint& target)
{
    const bool skips_doubtful = has_doubtful_members_ && is_remote(target);
    std::vector<peer_record*> pending;
    for (auto& [name, peer] : peers_) {
        if (peer.remaining_sends == 0 || (skips_doubtful && peer.is_doubtful)) {
            continue;
        }
        pending.push_back(&peer);
    }
    // Updates that were sent least often go first.
    const auto count =
        std::min(pending.size(), settings_.max_updates_per_message);
    std::ranges::partial_sort(
        pending, pending.begin() + static_cast<long>(count),
        std::ranges::greater{}, &peer_record::remaining_sends);
    pending.resize(count);
    std::vector<member> updates;
    for (auto* peer : pending) {
        --peer->remaining_sends;
        updates.push_back(peer->description);
    }
    // Spare room carries a random member, so that views converge even when
    // updates were lost.
    if (updates.size() < settings_.max_updates_per_message && !peers_.empty()) {
        auto position = std::uniform_int_distribution<std::size_t>(
            0, peers_.size() - 1)(random_);
        const auto& chosen =
            std::next(peers_.begin(), static_cast<long>(position))->second;
        if (!skips_doubtful || !chosen.is_doubtful) {
            updates.push_back(chosen.description);
        }
    }
    return updates;
}

void membership::on_message(const gossip_message& message,
                            runtime::time_point now)
{
    if (message.sender.name == self_.name &&
        message.sender.endpoint == self_.endpoint) {
        return;
    }
    take_back_failures(message.sender, now);
    apply(message.sender, now);
    for (const auto& update : message.updates) {
        apply(update, now);
    }
    for (const auto& drain : message.drains) {
        announce_drain(drain);
    }
    if (message.digest != digest_) {
        hooks_.on_digest_mismatch(message.sender, message.digest);
    }
    switch (message.kind) {
    case gossip_kind::ping:
        if (message.subject) {
            apply(*message.subject, now);
        }
        send(message.sender.endpoint, gossip_kind::ack, message.sequence);
        break;
    case gossip_kind::ack:
    case gossip_kind::relayed_ack:
        on_ack(message.sequence, now);
        break;
    case gossip_kind::ping_request: {
        if (!message.subject || relayed_probes_.size() >= max_relayed_probes) {
            break;
        }
        const auto sequence = next_sequence_++;
        relayed_probes_[sequence] = {message.sender.endpoint, message.sequence,
                                     now + settings_.probe_interval};
        send(message.subject->endpoint, gossip_kind::ping, sequence);
        break;
    }
    }
}

void membership::on_ack(std::uint64_t sequence, runtime::time_point now)
{
    const auto relayed = relayed_probes_.find(sequence);
    if (relayed != relayed_probes_.end()) {
        send(relayed->second.origin, gossip_kind::relayed_ack,
             relayed->second.origin_sequence);
        relayed_probes_.erase(relayed);
        return;
    }
    const auto found = std::ranges::find(probes_, sequence, &probe::sequence);
    if (found == probes_.end()) {
        return;
    }
    hooks_.on_ack(found->sent_at);
    const auto target = peers_.find(found->target.name);
    if (target != peers_.end() &&
        target->second.description.state == member_state::suspect) {
        // The ack ends the suspicion at this node only; the member's own
        // refutation ends it at all nodes.
        set_state(target->second, member_state::alive, now);
    }
    probes_.erase(found);
}

void membership::apply(const member& update, runtime::time_point now)
{
    if (update.name == self_.name) {
        apply_update_about_self(update);
        return;
    }
    const auto found = peers_.find(update.name);
    if (found == peers_.end()) {
        // A node that starts while it is cut off hears from its peers that the
        // others are dead, and must not pass that on when the partition heals.
        if (!is_live(update)) {
            return;
        }
        auto& added = peers_[update.name];
        added.description = update;
        added.changed_at = now;
        added.remaining_sends = sends_per_update();
        hooks_.on_transition(update, member_state::dead);
        hooks_.on_change();
        return;
    }
    auto& known = found->second;
    if (!supersedes(update, known.description) || repeats_doubt(update, now)) {
        return;
    }
    const auto before = known.description;
    known.description = update;
    record_change(known, now);
    if (before.state != update.state) {
        hooks_.on_transition(update, before.state);
    }
    if (before.state != update.state || before.endpoint != update.endpoint ||
        before.incarnation != update.incarnation) {
        hooks_.on_change();
    }
}

void membership::apply_update_about_self(const member& update)
{
    if (update.incarnation > self_.incarnation) {
        // Peers know a greater incarnation from an earlier process of this
        // node: the system clock, from which incarnations are taken, has gone
        // back since.
        self_.incarnation = update.incarnation + 1;
        self_.refutation = 0;
        ping_random_peers();
        return;
    }
    const bool is_wrong = update.incarnation == self_.incarnation &&
                          update.refutation >= self_.refutation &&
                          (update.state == member_state::suspect ||
                           update.state == member_state::dead);
    if (!is_wrong) {
        return;
    }
    // A greater refutation count supersedes every record of this incarnation
    // that others still gossip.
    self_.refutation = update.refutation + 1;
    ping_random_peers();
}

void membership::set_state(peer_record& peer, member_state state,
                           runtime::time_point now)
{
    const auto before = peer.description.state;
    peer.description.state = state;
    record_change(peer, now);
    hooks_.on_transition(peer.description, before);
    hooks_.on_change();
    // Ownership of the member's upstreams moves only when other nodes learn of
    // the change, so it is sent immediately.
    ping_random_peers();
}

void membership::on_resumed(runtime::time_point now)
{
    probes_.clear();
    relayed_probes_.clear();
    for (auto& [name, peer] : peers_) {
        if (peer.description.state == member_state::suspect) {
            peer.changed_at = now;
        }
    }
    for (const auto& peer : random_peers(settings_.indirect_probe_count)) {
        const auto sequence = next_sequence_++;
        probes_.push_back({peer, sequence, now, false});
        send(peer.endpoint, gossip_kind::ping, sequence);
    }
}

void membership::leave(runtime::time_point now)
{
    self_.state = member_state::leaving;
    ++self_.refutation;
    // Every live peer is pinged now, so that ownership moves without waiting
    // for gossip to spread.
    for (const auto& [name, peer] : peers_) {
        if (!is_live(peer.description)) {
            continue;
        }
        send(peer.description.endpoint, gossip_kind::ping, next_sequence_++);
    }
    hooks_.on_change();
    (void)now;
}

void membership::announce_drain(const drain_update& update)
{
    auto& known = drains_[update.upstream];
    if (known.update.stamp >= update.stamp) {
        return;
    }
    known.update = update;
    known.remaining_sends = sends_per_update();
    hooks_.on_drain(update);
}

std::vector<member> membership::members() const
{
    std::vector<member> all{self_};
    for (const auto& [name, peer] : peers_) {
        all.push_back(peer.description);
    }
    return all;
}

std::vector<policy::node_view> membership::live_nodes() const
{
    std::vector<policy::node_view> nodes;
    for (const auto& node : members()) {
        if (!is_live(node)) {
            continue;
        }
        nodes.push_back({node.id(), node.failure_domain,
                         node.state == member_state::leaving});
    }
    return nodes;
}

std::optional<member> membership::find(policy::node_id id) const
{
    for (const auto& candidate : members()) {
        if (candidate.id() == id) {
            return candidate;
        }
    }
    return std::nullopt;
}

std::vector<member> membership::random_peers(std::size_t count)
{
    std::vector<member> live;
    for (const auto& [name, peer] : peers_) {
        if (!is_live(peer.description)) {
            continue;
        }
        live.push_back(peer.description);
    }
    std::ranges::shuffle(live, random_);
    live.resize(std::min(live.size(), count));
    return live;
}

} // namespace tamarackhoist::peers
