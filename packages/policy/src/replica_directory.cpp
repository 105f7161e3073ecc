#include <tamarackhoist/policy/replica_directory.hpp>

#include <algorithm>
#include <cmath>

namespace tamarackhoist::policy
{

namespace
{

constexpr auto relaxed = std::memory_order_relaxed;

/// Service time assumed for an upstream that has not answered yet.
constexpr runtime::duration initial_service_time = std::chrono::milliseconds(5);
/// Half-life of the weight of a reported load.
constexpr runtime::duration half_life = std::chrono::seconds(2);
/// The weight of a replica is its cost to the power of minus this: a replica
/// with twice the cost is chosen a sixteenth as often.
constexpr double preference_exponent = 4;
/// Factor on the cost of a replica that refused the last attempt as busy.
constexpr double busy_penalty = 2;
/// Consecutive failures after which a replica is avoided.
constexpr std::uint32_t suspect_failures = 3;
/// Time after its last update during which a suspect replica is avoided.
constexpr runtime::duration suspect_avoidance_time = std::chrono::seconds(1);

runtime::time_point to_time(std::int64_t ticks)
{
    return runtime::time_point(runtime::duration(ticks));
}

std::size_t class_position(class_index rank)
{
    return std::min(rank, replica_directory::max_classes - 1);
}

/// Consecutive lost races after which a replica is avoided, and for how long.
constexpr std::uint32_t suspect_lost_races = 2;
constexpr runtime::duration slow_avoidance_time = std::chrono::seconds(4);
/// A lost race is counted when it took longer than this multiple of the
/// replica's known service time.
constexpr std::int64_t min_lost_race_multiple = 2;

} // namespace

replica_directory::replica_directory()
    : records_(std::make_shared<const table>())
{
}

void replica_directory::set_deployment(const deployment& configuration)
{
    const auto& old = *records_.read();
    auto next = std::make_shared<table>();
    for (const auto& upstream : configuration.upstreams()) {
        const auto found = old.find(upstream.id);
        auto kept =
            found == old.end() ? std::make_shared<record>() : found->second;
        kept->slots.store(upstream.slots, relaxed);
        next->emplace(upstream.id, std::move(kept));
    }
    records_.publish(std::move(next));
}

replica_directory::record* replica_directory::find(upstream_id target) const
{
    const auto& records = *records_.read();
    const auto found = records.find(target);
    return found == records.end() ? nullptr : found->second.get();
}

void replica_directory::on_attempt_sent(upstream_id target)
{
    if (auto* entry = find(target)) {
        entry->outstanding.fetch_add(1, relaxed);
    }
}

void replica_directory::on_attempt_ended(upstream_id target)
{
    if (auto* entry = find(target)) {
        entry->outstanding.fetch_sub(1, relaxed);
    }
}

void replica_directory::on_reply(const sub_reply& reply,
                                 runtime::time_point now)
{
    auto* entry = find(reply.source);
    if (entry == nullptr) {
        return;
    }
    entry->queue_delay[class_position(reply.load.rank)].store(
        reply.load.queue_delay.count(), relaxed);
    entry->service_time.store(reply.load.service_time.count(), relaxed);
    entry->last_update_at.store(now.time_since_epoch().count(), relaxed);
    entry->is_draining.store(reply.load.is_draining, relaxed);
    if (reply.load.versions.high != 0) {
        entry->version_low.store(reply.load.versions.low, relaxed);
        entry->version_high.store(reply.load.versions.high, relaxed);
    }
    const bool has_failed = reply.outcome == sub_outcome::failed ||
                            reply.reason == refusal::not_connected;
    if (has_failed) {
        entry->failures.fetch_add(1, relaxed);
        return;
    }
    if (reply.outcome == sub_outcome::answered) {
        entry->failures.store(0, relaxed);
        entry->lost_races.store(0, relaxed);
    }
}

void replica_directory::on_no_reply(upstream_id target,
                                    runtime::duration elapsed,
                                    runtime::time_point now)
{
    auto* entry = find(target);
    if (entry == nullptr) {
        return;
    }
    // A single lost race may be chance. Several without an answer in between
    // show that the replica is slow, though not by how much.
    const auto known = entry->service_time.load(relaxed);
    entry->service_time.store(std::max(known, elapsed.count()), relaxed);
    entry->last_update_at.store(now.time_since_epoch().count(), relaxed);
    if (elapsed.count() > min_lost_race_multiple * known) {
        entry->lost_races.fetch_add(1, relaxed);
    }
}

void replica_directory::set_draining(upstream_id target, bool is_draining)
{
    if (auto* entry = find(target)) {
        entry->is_draining.store(is_draining, relaxed);
    }
}

index_version
replica_directory::common_version(std::span<const shard> shards) const
{
    index_version common = 0;
    for (const auto& shard : shards) {
        index_version highest = 0;
        for (const auto replica : shard.replicas) {
            highest = std::max(highest, versions(replica).high);
        }
        if (highest == 0) {
            continue;
        }
        common = common == 0 ? highest : std::min(common, highest);
    }
    return common;
}

version_span replica_directory::versions(upstream_id target) const
{
    const auto* entry = find(target);
    if (entry == nullptr) {
        return {};
    }
    return {entry->version_low.load(relaxed),
            entry->version_high.load(relaxed)};
}

double replica_directory::age_weight(const record& entry,
                                     runtime::time_point now)
{
    const auto age = now - to_time(entry.last_update_at.load(relaxed));
    return std::exp2(-runtime::to_seconds(age) /
                     runtime::to_seconds(half_life));
}

double replica_directory::cost(const record& entry, class_index rank,
                               runtime::time_point now)
{
    const auto weight = age_weight(entry, now);
    const auto initial = static_cast<double>(initial_service_time.count());
    const auto known = static_cast<double>(entry.service_time.load(relaxed));
    const auto service =
        known == 0 ? initial : known * weight + initial * (1 - weight);
    const auto wait =
        static_cast<double>(
            entry.queue_delay[class_position(rank)].load(relaxed)) *
        weight;
    const auto slots = std::max(entry.slots.load(relaxed), 1U);
    const auto outstanding = std::max(entry.outstanding.load(relaxed), 0);
    return service * (1.0 + static_cast<double>(outstanding) / slots) + wait;
}

std::optional<upstream_id>
replica_directory::choose(const selection& criteria,
                          std::mt19937_64& random) const
{
    struct candidate {
        upstream_id id;
        double weight;
    };
    std::vector<candidate> preferred;
    std::vector<candidate> avoided;
    preferred.reserve(criteria.replicas.size());
    for (const auto replica : criteria.replicas) {
        if (std::ranges::find(criteria.excluded, replica) !=
            criteria.excluded.end()) {
            continue;
        }
        const auto* entry = find(replica);
        if (entry == nullptr) {
            continue;
        }
        const auto penalty =
            criteria.busy_replica == replica ? busy_penalty : 1.0;
        const candidate option{
            replica,
            std::pow(penalty * cost(*entry, criteria.rank, criteria.now),
                     -preference_exponent)};
        const version_span served{entry->version_low.load(relaxed),
                                  entry->version_high.load(relaxed)};
        const bool lacks_version = criteria.version != 0 && served.high != 0 &&
                                   !served.contains(criteria.version);
        const bool is_recent =
            criteria.now - to_time(entry->last_update_at.load(relaxed)) <
            suspect_avoidance_time;
        const bool is_recently_slow =
            criteria.now - to_time(entry->last_update_at.load(relaxed)) <
            slow_avoidance_time;
        const bool is_suspect =
            (entry->failures.load(relaxed) >= suspect_failures && is_recent) ||
            (entry->lost_races.load(relaxed) >= suspect_lost_races &&
             is_recently_slow);
        if (entry->is_draining.load(relaxed) || is_suspect || lacks_version) {
            avoided.push_back(option);
            continue;
        }
        preferred.push_back(option);
    }
    const auto& candidates = preferred.empty() ? avoided : preferred;
    if (candidates.empty()) {
        return std::nullopt;
    }
    double total = 0;
    for (const auto& option : candidates) {
        total += option.weight;
    }
    auto point = std::uniform_real_distribution<>(0, total)(random);
    for (const auto& option : candidates) {
        point -= option.weight;
        if (point <= 0) {
            return option.id;
        }
    }
    return candidates.back().id;
}

runtime::duration replica_directory::queue_delay(upstream_id target,
                                                 class_index rank,
                                                 runtime::time_point now) const
{
    const auto* entry = find(target);
    if (entry == nullptr) {
        return {};
    }
    const runtime::duration known(
        entry->queue_delay[class_position(rank)].load(relaxed));
    return runtime::from_seconds(runtime::to_seconds(known) *
                                 age_weight(*entry, now));
}

} // namespace tamarackhoist::policy
