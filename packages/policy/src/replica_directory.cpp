#include <tamarackhoist/policy/replica_directory.hpp>

#include <algorithm>
#include <cmath>

namespace tamarackhoist::policy
{

namespace
{

constexpr auto relaxed = std::memory_order_relaxed;

/// Service time assumed for an upstream that has not answered yet.
constexpr runtime::duration initial_service = std::chrono::milliseconds(5);
/// Time after which what was learned about an upstream counts half.
constexpr runtime::duration half_life = std::chrono::seconds(2);
/// Steepness of the preference for the cheaper replica: a replica that costs
/// twice as much is chosen a sixteenth as often.
constexpr double preference_exponent = 4;
/// Factor on the cost of a replica that was busy a moment ago.
constexpr double busy_penalty = 2;
/// Failures without a success after which a replica is avoided.
constexpr std::uint32_t suspect_failures = 3;
/// Time after which one request is tried at a suspect replica again.
constexpr runtime::duration suspect_time = std::chrono::seconds(1);

runtime::time_point to_time(std::int64_t ticks)
{
    return runtime::time_point(runtime::duration(ticks));
}

std::size_t slot_of(class_index rank)
{
    return std::min(rank, replica_directory::max_classes - 1);
}

/// Lost races without an answer between them after which a replica is
/// avoided, and for how long.
constexpr std::uint32_t slow_races = 2;
constexpr runtime::duration slow_time = std::chrono::seconds(4);
/// Multiple of its known service time beyond which a lost race counts.
constexpr std::int64_t slow_multiple = 2;

} // namespace

replica_directory::replica_directory()
    : records_(std::make_shared<const table>())
{
}

void replica_directory::set_deployment(const deployment& described)
{
    const auto& old = *records_.read();
    auto next = std::make_shared<table>();
    for (const auto& each : described.upstreams()) {
        const auto found = old.find(each.id);
        auto kept =
            found == old.end() ? std::make_shared<record>() : found->second;
        kept->slots.store(each.slots, relaxed);
        next->emplace(each.id, std::move(kept));
    }
    records_.publish(std::move(next));
}

replica_directory::record* replica_directory::find(upstream_id target) const
{
    const auto& records = *records_.read();
    const auto found = records.find(target);
    return found == records.end() ? nullptr : found->second.get();
}

void replica_directory::on_sent(upstream_id target)
{
    if (auto* each = find(target)) {
        each->outstanding.fetch_add(1, relaxed);
    }
}

void replica_directory::on_settled(upstream_id target)
{
    if (auto* each = find(target)) {
        each->outstanding.fetch_sub(1, relaxed);
    }
}

void replica_directory::on_reply(const sub_reply& reply,
                                 runtime::time_point now)
{
    auto* each = find(reply.source);
    if (each == nullptr) {
        return;
    }
    each->queue_delay[slot_of(reply.load.rank)].store(
        reply.load.queue_delay.count(), relaxed);
    each->service_time.store(reply.load.service_time.count(), relaxed);
    each->updated_at.store(now.time_since_epoch().count(), relaxed);
    each->is_draining.store(reply.load.is_draining, relaxed);
    if (reply.load.versions.high != 0) {
        each->version_low.store(reply.load.versions.low, relaxed);
        each->version_high.store(reply.load.versions.high, relaxed);
    }
    const bool has_failed = reply.outcome == sub_outcome::failed ||
                            reply.reason == refusal::not_connected;
    if (has_failed) {
        each->failures.fetch_add(1, relaxed);
        return;
    }
    if (reply.outcome == sub_outcome::answered) {
        each->failures.store(0, relaxed);
        each->lost_races.store(0, relaxed);
    }
}

void replica_directory::on_silence(upstream_id target,
                                   runtime::duration elapsed,
                                   runtime::time_point now)
{
    auto* each = find(target);
    if (each == nullptr) {
        return;
    }
    // One lost race may be chance. Several without an answer between them
    // mean that the replica is slow, by an unknown factor.
    const auto known = each->service_time.load(relaxed);
    each->service_time.store(std::max(known, elapsed.count()), relaxed);
    each->updated_at.store(now.time_since_epoch().count(), relaxed);
    if (elapsed.count() > slow_multiple * known) {
        each->lost_races.fetch_add(1, relaxed);
    }
}

void replica_directory::set_draining(upstream_id target, bool is_draining)
{
    if (auto* each = find(target)) {
        each->is_draining.store(is_draining, relaxed);
    }
}

index_version
replica_directory::common_version(std::span<const shard> shards) const
{
    index_version common = 0;
    for (const auto& each : shards) {
        index_version highest = 0;
        for (const auto replica : each.replicas) {
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
    const auto* each = find(target);
    if (each == nullptr) {
        return {};
    }
    return {each->version_low.load(relaxed), each->version_high.load(relaxed)};
}

double replica_directory::freshness(const record& each, runtime::time_point now)
{
    const auto age = now - to_time(each.updated_at.load(relaxed));
    return std::exp2(-runtime::to_seconds(age) /
                     runtime::to_seconds(half_life));
}

double replica_directory::cost(const record& each, class_index rank,
                               runtime::time_point now)
{
    const auto weight = freshness(each, now);
    const auto initial = static_cast<double>(initial_service.count());
    const auto known = static_cast<double>(each.service_time.load(relaxed));
    const auto service =
        known == 0 ? initial : known * weight + initial * (1 - weight);
    const auto wait =
        static_cast<double>(each.queue_delay[slot_of(rank)].load(relaxed)) *
        weight;
    const auto slots = std::max(each.slots.load(relaxed), 1U);
    const auto outstanding = std::max(each.outstanding.load(relaxed), 0);
    return service * (1.0 + static_cast<double>(outstanding) / slots) + wait;
}

std::optional<upstream_id>
replica_directory::choose(const selection& wanted,
                          std::mt19937_64& random) const
{
    struct candidate {
        upstream_id id;
        double weight;
    };
    std::vector<candidate> good;
    std::vector<candidate> doubtful;
    good.reserve(wanted.replicas.size());
    for (const auto replica : wanted.replicas) {
        if (std::ranges::find(wanted.excluded, replica) !=
            wanted.excluded.end()) {
            continue;
        }
        const auto* each = find(replica);
        if (each == nullptr) {
            continue;
        }
        const auto penalty = wanted.busy == replica ? busy_penalty : 1.0;
        const candidate next{
            replica, std::pow(penalty * cost(*each, wanted.rank, wanted.now),
                              -preference_exponent)};
        const version_span served{each->version_low.load(relaxed),
                                  each->version_high.load(relaxed)};
        const bool lacks_version = wanted.version != 0 && served.high != 0 &&
                                   !served.contains(wanted.version);
        const bool is_recent =
            wanted.now - to_time(each->updated_at.load(relaxed)) < suspect_time;
        const bool is_recently_slow =
            wanted.now - to_time(each->updated_at.load(relaxed)) < slow_time;
        const bool is_suspect =
            (each->failures.load(relaxed) >= suspect_failures && is_recent) ||
            (each->lost_races.load(relaxed) >= slow_races && is_recently_slow);
        if (each->is_draining.load(relaxed) || is_suspect || lacks_version) {
            doubtful.push_back(next);
            continue;
        }
        good.push_back(next);
    }
    const auto& pool = good.empty() ? doubtful : good;
    if (pool.empty()) {
        return std::nullopt;
    }
    double total = 0;
    for (const auto& each : pool) {
        total += each.weight;
    }
    auto point = std::uniform_real_distribution<>(0, total)(random);
    for (const auto& each : pool) {
        point -= each.weight;
        if (point <= 0) {
            return each.id;
        }
    }
    return pool.back().id;
}

runtime::duration replica_directory::queue_delay(upstream_id target,
                                                 class_index rank,
                                                 runtime::time_point now) const
{
    const auto* each = find(target);
    if (each == nullptr) {
        return {};
    }
    const runtime::duration known(
        each->queue_delay[slot_of(rank)].load(relaxed));
    return runtime::from_seconds(runtime::to_seconds(known) *
                                 freshness(*each, now));
}

} // namespace tamarackhoist::policy
