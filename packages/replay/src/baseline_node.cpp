#include <tamarackhoist/replay/baseline_node.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::replay
{

using policy::upstream_outcome;

namespace
{

constexpr std::uint32_t max_attempts = 4;
constexpr runtime::duration refused_connect = std::chrono::milliseconds(1);

} // namespace

baseline_node::baseline_node(simulated_fleet& fleet, std::size_t number)
    : fleet_(fleet), number_(number)
{
}

policy::upstream_id baseline_node::next_replica(const policy::shard& each)
{
    return each.replicas[next_replica_[each.name]++ % each.replicas.size()];
}

void baseline_node::run_query(std::size_t number, const policy::query& wanted,
                              answer_hook handle)
{
    auto run = std::make_shared<query_run>();
    run->wanted = wanted;
    run->handle = std::move(handle);
    const auto shards = fleet_.deployment()->shards_of_index(wanted.index);
    for (const auto& range : wanted.ranges.ranges()) {
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            const auto part = range.intersection(shards[shard].range);
            if (part.empty()) {
                continue;
            }
            ++run->open;
            send_part(number, run, part, shard, 1);
        }
    }
    fleet_.at_node(number_, wanted.deadline - fleet_.scheduler().now(),
                   [run] { finish(run); });
}

void baseline_node::finish(const std::shared_ptr<query_run>& run)
{
    auto handle = std::exchange(run->handle, nullptr);
    if (!handle) {
        return;
    }
    auto& answer = run->answer;
    const auto rest = run->wanted.ranges.difference(answer.answered);
    for (const auto& range : rest.ranges()) {
        answer.missing.push_back({range, policy::missing_reason::deadline});
    }
    answer.status = rest.empty() ? policy::query_status::complete
                                 : policy::query_status::partial;
    handle(answer);
}

void baseline_node::send_part(std::size_t number,
                              const std::shared_ptr<query_run>& run,
                              policy::key_range range, std::size_t shard,
                              std::uint32_t attempt)
{
    const auto shards = fleet_.deployment()->shards_of_index("index");
    policy::sub_request request;
    request.target = next_replica(shards[shard]);
    request.range = range;
    request.deadline = run->wanted.deadline;
    exchange(number, std::move(request),
             [this, number, run, range, shard,
              attempt](const policy::upstream_report& report) {
                 if (report.outcome == upstream_outcome::answered) {
                     // The reply counts for the whole range that was asked.
                     run->answer.version = report.version;
                     run->answer.answered.add(range);
                     std::ranges::copy(report.items,
                                       std::back_inserter(run->answer.items));
                 } else if (attempt < max_attempts && run->handle) {
                     send_part(number, run, range, shard, attempt + 1);
                     return;
                 }
                 if (--run->open == 0) {
                     finish(run);
                 }
             });
}

void baseline_node::exchange(std::size_t number, policy::sub_request request,
                             report_hook handle)
{
    fleet_.count_decision();
    request.id = {number_ + 1, next_serial_++};
    auto& fake = fleet_.upstream(request.target);
    const bool is_connected =
        !fake.is_down() &&
        fleet_.is_connected(fleet_.domain_of(fake.description()),
                            fleet_.domain_of(number_));
    if (!is_connected) {
        fleet_.at_node(number_, refused_connect, [handle] { handle({}); });
        return;
    }
    const auto delay = fleet_.shape().link_time;
    fleet_.scheduler().after(
        delay, [this, &fake, number, request, delay, handle] {
            fake.serve(
                number, request,
                [this, delay, handle](const policy::upstream_report& report) {
                    fleet_.at_node(number_, delay, [this, handle, report] {
                        fleet_.count_decision();
                        handle(report);
                    });
                });
        });
}

void baseline_node::run_order(std::size_t number, const policy::order& wanted,
                              outcome_hook handle)
{
    auto once = std::make_shared<outcome_hook>(std::move(handle));
    try_order(number, wanted, 1, once);
    fleet_.at_node(number_, wanted.deadline - fleet_.scheduler().now(), [once] {
        if (auto hook = std::exchange(*once, nullptr)) {
            hook({policy::order_status::unknown, {}, {}});
        }
    });
}

void baseline_node::try_order(std::size_t number, const policy::order& wanted,
                              std::uint32_t attempt,
                              const std::shared_ptr<outcome_hook>& once)
{
    const auto shards = fleet_.deployment()->shards_of_service("orders");
    policy::sub_request request;
    request.target = next_replica(shards.front());
    request.range = {wanted.position, wanted.position + 1};
    request.is_idempotent = false;
    exchange(number, std::move(request),
             [this, number, wanted, attempt,
              once](const policy::upstream_report& report) {
                 if (report.outcome == upstream_outcome::answered) {
                     if (auto hook = std::exchange(*once, nullptr)) {
                         hook({policy::order_status::ran, {}, {}});
                     }
                     return;
                 }
                 if (attempt < max_attempts && *once) {
                     try_order(number, wanted, attempt + 1, once);
                     return;
                 }
                 if (auto hook = std::exchange(*once, nullptr)) {
                     hook({policy::order_status::not_run, {}, {}});
                 }
             });
}

} // namespace tamarackhoist::replay
