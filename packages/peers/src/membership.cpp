#include <tamarackhoist/peers/membership.hpp>

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>

namespace tamarackhoist::peers
{

namespace
{

constexpr runtime::duration seed_interval = std::chrono::seconds(1);
constexpr std::size_t seeds_per_contact = 4;
constexpr std::size_t max_drains_per_message = 8;
constexpr std::size_t max_relays = 1024;

} // namespace

membership::membership(member self, membership_settings settings, hooks actions,
                       std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), actions_(std::move(actions)),
      random_(seed)
{
    assert(actions_.send && actions_.on_change && actions_.on_transition &&
           actions_.on_other_digest && actions_.on_drain && actions_.on_ack &&
           actions_.pull);
}

bool membership::counts_as_live(const member& each)
{
    return each.state != member_state::dead;
}

void membership::add_seed(const transport::endpoint& where)
{
    if (where == self_.where ||
        std::ranges::find(seeds_, where) != seeds_.end()) {
        return;
    }
    seeds_.push_back(where);
}

void membership::tick(runtime::time_point now)
{
    expire(now);
    check_probe(now);
    contact_seeds(now);
    exchange_members(now);
    if (now - probed_at_ >= settings_.probe_interval) {
        probed_at_ = now;
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
    send(target->where, gossip_kind::ping, sequence);
}

std::optional<member> membership::next_probe_target()
{
    if (probe_order_.empty()) {
        std::vector<std::string> names;
        for (const auto& [name, each] : others_) {
            if (!counts_as_live(each.description)) {
                continue;
            }
            names.push_back(name);
        }
        std::ranges::shuffle(names, random_);
        probe_order_.assign(names.begin(), names.end());
    }
    // Most probes stay in the own failure domain, where they are cheap and
    // where hand-over has to be quick; the rest link the domains.
    ++probe_count_;
    const bool wants_remote =
        probe_count_ % settings_.remote_probe_interval == 0;
    const auto is_wanted = [&](const std::string& name) {
        const auto found = others_.find(name);
        if (found == others_.end()) {
            return false;
        }
        const auto& domain = found->second.description.failure_domain;
        return (domain != self_.failure_domain) == wants_remote;
    };
    auto chosen = std::ranges::find_if(probe_order_, is_wanted);
    if (chosen == probe_order_.end()) {
        chosen = probe_order_.begin();
    }
    if (chosen == probe_order_.end()) {
        return std::nullopt;
    }
    const auto found = others_.find(*chosen);
    probe_order_.erase(chosen);
    if (found == others_.end() || !counts_as_live(found->second.description)) {
        return std::nullopt;
    }
    return found->second.description;
}

void membership::check_probe(runtime::time_point now)
{
    std::vector<probe> kept;
    for (auto& each : probes_) {
        const auto age = now - each.sent_at;
        if (age >= settings_.probe_interval + settings_.direct_timeout) {
            const auto found = others_.find(each.target.name);
            if (found != others_.end()) {
                on_probe_failed(found->second, now);
            }
            continue;
        }
        if (age >= settings_.direct_timeout && !each.is_indirect) {
            each.is_indirect = true;
            auto helpers = random_peers(settings_.indirect_probes + 1);
            std::erase_if(helpers, [&](const member& helper) {
                return helper.name == each.target.name;
            });
            if (helpers.size() > settings_.indirect_probes) {
                helpers.pop_back();
            }
            for (const auto& helper : helpers) {
                send(helper.where, gossip_kind::ping_request, each.sequence,
                     each.target);
            }
        }
        kept.push_back(each);
    }
    probes_ = std::move(kept);
}

void membership::on_probe_failed(record& target, runtime::time_point now)
{
    if (target.description.state == member_state::leaving) {
        // It said that it would go, so there is nothing to contradict.
        set_state(target, member_state::dead, now);
        return;
    }
    if (target.description.state != member_state::alive) {
        return;
    }
    set_state(target, member_state::suspect, now);
    // The suspect is told, so that it can contradict.
    send(target.description.where, gossip_kind::ping, next_sequence_++,
         target.description);
}

void membership::expire(runtime::time_point now)
{
    std::vector<std::string> forgotten;
    for (auto& [name, each] : others_) {
        const auto age = now - each.changed_at;
        const auto state = each.description.state;
        if (state == member_state::suspect &&
            age >= settings_.suspicion_timeout) {
            set_state(each, member_state::dead, now);
        } else if (state == member_state::dead &&
                   age >= settings_.dead_retention) {
            forgotten.push_back(name);
        }
    }
    for (const auto& name : forgotten) {
        others_.erase(name);
    }
    std::erase_if(relays_, [&](const auto& each) {
        return each.second.expires_at <= now;
    });
}

void membership::exchange_members(runtime::time_point now)
{
    const bool has_grown = others_.size() > exchanged_count_;
    const auto interval =
        has_grown ? settings_.join_interval : settings_.exchange_interval;
    if (now - exchanged_at_ < interval) {
        return;
    }
    const auto peers = random_peers(1);
    if (peers.empty()) {
        return;
    }
    exchanged_at_ = now;
    exchanged_count_ = others_.size();
    actions_.pull(peers.front());
}

void membership::merge(std::span<const member> known, runtime::time_point now)
{
    for (const auto& each : known) {
        apply(each, now);
    }
}

void membership::tell_some_peers()
{
    for (const auto& peer : random_peers(settings_.indirect_probes)) {
        send(peer.where, gossip_kind::ping, next_sequence_++);
    }
}

void membership::ping_domain(std::string_view failure_domain)
{
    std::vector<member> targets;
    for (const auto& [name, each] : others_) {
        if (each.description.failure_domain == failure_domain) {
            targets.push_back(each.description);
        }
    }
    std::ranges::shuffle(targets, random_);
    targets.resize(std::min(targets.size(), settings_.indirect_probes));
    for (const auto& each : targets) {
        send(each.where, gossip_kind::ping, next_sequence_++);
    }
}

void membership::contact_seeds(runtime::time_point now)
{
    if (seeds_.empty() || now - seeded_at_ < seed_interval) {
        return;
    }
    seeded_at_ = now;
    // A seed that is a live member is probed anyway. The others are pinged
    // now and then, which is what joins the halves of a healed partition.
    struct stranger {
        transport::endpoint where;
        std::optional<member> belief;
    };
    std::vector<stranger> strangers;
    for (const auto& seed : seeds_) {
        const bool is_live =
            std::ranges::any_of(others_, [&](const auto& each) {
                const auto& description = each.second.description;
                return description.where == seed && counts_as_live(description);
            });
        if (!is_live) {
            strangers.push_back({seed, std::nullopt});
        }
    }
    for (const auto& [name, each] : others_) {
        if (each.description.state == member_state::dead) {
            strangers.push_back({each.description.where, each.description});
        }
    }
    std::ranges::shuffle(strangers, random_);
    if (strangers.size() > seeds_per_contact) {
        strangers.erase(strangers.begin() + seeds_per_contact, strangers.end());
    }
    for (const auto& each : strangers) {
        // A member that is wrongly believed dead learns of it this way.
        send(each.where, gossip_kind::ping, next_sequence_++, each.belief);
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
    message.updates = next_updates();
    message.digest = digest_;
    for (auto& [upstream, each] : drains_) {
        if (each.remaining_sends == 0 ||
            message.drains.size() >= max_drains_per_message) {
            continue;
        }
        --each.remaining_sends;
        message.drains.push_back(each.update);
    }
    actions_.send(target, message);
}

std::uint32_t membership::sends_of_update() const
{
    const auto doublings = std::bit_width(others_.size() + 1);
    return settings_.sends_per_doubling * static_cast<std::uint32_t>(doublings);
}

std::vector<member> membership::next_updates()
{
    std::vector<record*> fresh;
    for (auto& [name, each] : others_) {
        if (each.remaining_sends > 0) {
            fresh.push_back(&each);
        }
    }
    // The least often sent news go first.
    const auto count = std::min(fresh.size(), settings_.updates_per_message);
    std::ranges::partial_sort(fresh, fresh.begin() + static_cast<long>(count),
                              std::ranges::greater{}, &record::remaining_sends);
    fresh.resize(count);
    std::vector<member> updates;
    for (auto* each : fresh) {
        --each->remaining_sends;
        updates.push_back(each->description);
    }
    // Room that is left carries random members, so that views converge even
    // when news were lost.
    if (updates.size() < settings_.updates_per_message && !others_.empty()) {
        auto position = std::uniform_int_distribution<std::size_t>(
            0, others_.size() - 1)(random_);
        const auto chosen =
            std::next(others_.begin(), static_cast<long>(position));
        updates.push_back(chosen->second.description);
    }
    return updates;
}

void membership::on_message(const gossip_message& message,
                            runtime::time_point now)
{
    if (message.sender.name == self_.name &&
        message.sender.where == self_.where) {
        return;
    }
    heard_at_ = now;
    has_heard_ = true;
    apply(message.sender, now);
    for (const auto& update : message.updates) {
        apply(update, now);
    }
    for (const auto& drain : message.drains) {
        announce_drain(drain);
    }
    if (message.digest != digest_) {
        actions_.on_other_digest(message.sender, message.digest);
    }
    switch (message.kind) {
    case gossip_kind::ping:
        if (message.subject) {
            apply(*message.subject, now);
        }
        send(message.sender.where, gossip_kind::ack, message.sequence);
        break;
    case gossip_kind::ack:
    case gossip_kind::relayed_ack:
        on_ack(message.sequence, now);
        break;
    case gossip_kind::ping_request: {
        if (!message.subject || relays_.size() >= max_relays) {
            break;
        }
        const auto sequence = next_sequence_++;
        relays_[sequence] = {message.sender.where, message.sequence,
                             now + settings_.probe_interval};
        send(message.subject->where, gossip_kind::ping, sequence);
        break;
    }
    }
}

void membership::on_ack(std::uint64_t sequence, runtime::time_point now)
{
    const auto relayed = relays_.find(sequence);
    if (relayed != relays_.end()) {
        send(relayed->second.origin, gossip_kind::relayed_ack,
             relayed->second.origin_sequence);
        relays_.erase(relayed);
        return;
    }
    const auto found = std::ranges::find(probes_, sequence, &probe::sequence);
    if (found == probes_.end()) {
        return;
    }
    actions_.on_ack(found->sent_at);
    const auto target = others_.find(found->target.name);
    if (target != others_.end() &&
        target->second.description.state == member_state::suspect) {
        // The probe disproves the suspicion here; the member's own
        // refutation disproves it everywhere.
        set_state(target->second, member_state::alive, now);
    }
    probes_.erase(found);
}

void membership::apply(const member& update, runtime::time_point now)
{
    if (update.name == self_.name) {
        apply_about_self(update);
        return;
    }
    const auto found = others_.find(update.name);
    if (found == others_.end()) {
        auto& added = others_[update.name];
        added.description = update;
        added.changed_at = now;
        added.remaining_sends = sends_of_update();
        if (counts_as_live(update)) {
            actions_.on_transition(update, member_state::dead);
            actions_.on_change();
        }
        return;
    }
    auto& known = found->second;
    if (!supersedes(update, known.description)) {
        return;
    }
    const auto before = known.description;
    known.description = update;
    known.changed_at = now;
    known.remaining_sends = sends_of_update();
    if (before.state != update.state) {
        actions_.on_transition(update, before.state);
    }
    if (before.state != update.state || before.where != update.where ||
        before.incarnation != update.incarnation) {
        actions_.on_change();
    }
}

void membership::apply_about_self(const member& update)
{
    if (update.incarnation > self_.incarnation) {
        // An earlier process of this node is known by it: the time of day,
        // from which incarnations are made, went back since.
        self_.incarnation = update.incarnation + 1;
        self_.refutation = 0;
        tell_some_peers();
        return;
    }
    const bool is_wrong = update.incarnation == self_.incarnation &&
                          update.refutation >= self_.refutation &&
                          (update.state == member_state::suspect ||
                           update.state == member_state::dead);
    if (!is_wrong) {
        return;
    }
    // A greater refutation count overrides every belief that is out.
    self_.refutation = update.refutation + 1;
    tell_some_peers();
}

void membership::set_state(record& each, member_state state,
                           runtime::time_point now)
{
    const auto before = each.description.state;
    each.description.state = state;
    each.changed_at = now;
    each.remaining_sends = sends_of_update();
    actions_.on_transition(each.description, before);
    actions_.on_change();
    // The hand-over of the member's upstreams waits for this news.
    tell_some_peers();
}

void membership::on_resumed(runtime::time_point now)
{
    probes_.clear();
    relays_.clear();
    has_heard_ = false;
    for (auto& [name, each] : others_) {
        if (each.description.state == member_state::suspect) {
            each.changed_at = now;
        }
    }
    for (const auto& peer : random_peers(settings_.indirect_probes)) {
        const auto sequence = next_sequence_++;
        probes_.push_back({peer, sequence, now, false});
        send(peer.where, gossip_kind::ping, sequence);
    }
}

void membership::leave(runtime::time_point now)
{
    self_.state = member_state::leaving;
    ++self_.refutation;
    // Told to every peer at once: the hand-over should not wait for gossip.
    for (const auto& [name, each] : others_) {
        if (!counts_as_live(each.description)) {
            continue;
        }
        send(each.description.where, gossip_kind::ping, next_sequence_++);
    }
    actions_.on_change();
    (void)now;
}

void membership::announce_drain(const drain_update& update)
{
    auto& known = drains_[update.upstream];
    if (known.update.stamp >= update.stamp) {
        return;
    }
    known.update = update;
    known.remaining_sends = sends_of_update();
    actions_.on_drain(update);
}

std::vector<member> membership::members() const
{
    std::vector<member> all{self_};
    for (const auto& [name, each] : others_) {
        all.push_back(each.description);
    }
    return all;
}

std::vector<policy::node_view> membership::live_nodes() const
{
    std::vector<policy::node_view> nodes;
    for (const auto& each : members()) {
        if (!counts_as_live(each)) {
            continue;
        }
        nodes.push_back({each.id(), each.failure_domain,
                         each.state == member_state::leaving});
    }
    return nodes;
}

std::optional<member> membership::find(policy::node_id id) const
{
    for (const auto& each : members()) {
        if (each.id() == id) {
            return each;
        }
    }
    return std::nullopt;
}

bool membership::has_heard_within(runtime::duration age,
                                  runtime::time_point now) const
{
    return has_heard_ && now - heard_at_ <= age;
}

std::vector<member> membership::random_peers(std::size_t count)
{
    std::vector<member> live;
    for (const auto& [name, each] : others_) {
        if (!counts_as_live(each.description)) {
            continue;
        }
        live.push_back(each.description);
    }
    std::ranges::shuffle(live, random_);
    live.resize(std::min(live.size(), count));
    return live;
}

} // namespace tamarackhoist::peers
