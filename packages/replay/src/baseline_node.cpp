#include <tamarackhoist/replay/baseline_node.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::replay
{

using policy::upstream_outcome;

namespace
{

constexpr std::uint32_t max_attempts = 4;
constexpr runtime::duration connection_refused_delay =
    std::chrono::milliseconds(1);

} // namespace

baseline_node::baseline_node(simulated_fleet& fleet, std::size_t node_number)
    : fleet_(fleet), node_number_(node_number)
{
}

policy::upstream_id baseline_node::next_replica(const policy::shard& shard)
{
    return shard.replicas[next_replica_[shard.name]++ % shard.replicas.size()];
}

void baseline_node::run_query(std::size_t request_number,
                              const policy::query& query, answer_hook handle)
{
    auto run = std::make_shared<query_run>();
    run->query = query;
    run->handle = std::move(handle);
    const auto shards = fleet_.deployment()->shards_of_index(query.index);
    for (const auto& range : query.ranges.ranges()) {
        for (std::size_t shard = 0; shard < shards.size(); ++shard) {
            const auto part = range.intersection(shards[shard].range);
            if (part.empty()) {
                continue;
            }
            ++run->open_parts;
            send_part(request_number, run, part, shard, 1);
        }
    }
    fleet_.run_at_node(node_number_, query.deadline - fleet_.scheduler().now(),
                       [run] { finish(run); });
}

void baseline_node::finish(const std::shared_ptr<query_run>& run)
{
    auto handle = std::exchange(run->handle, nullptr);
    if (!handle) {
        return;
    }
    auto& answer = run->answer;
    const auto rest = run->query.ranges.difference(answer.answered);
    for (const auto& range : rest.ranges()) {
        answer.missing.push_back({range, policy::missing_reason::deadline});
    }
    answer.status = rest.empty() ? policy::query_status::complete
                                 : policy::query_status::partial;
    handle(answer);
}

void baseline_node::send_part(std::size_t request_number,
                              const std::shared_ptr<query_run>& run,
                              policy::key_range range, std::size_t shard,
                              std::uint32_t attempt)
{
    const auto shards = fleet_.deployment()->shards_of_index("index");
    policy::sub_request request;
    request.target = next_replica(shards[shard]);
    request.range = range;
    request.deadline = run->query.deadline;
    exchange(request_number, std::move(request),
             [this, request_number, run, range, shard,
              attempt](const policy::upstream_report& report) {
                 if (report.outcome == upstream_outcome::answered) {
                     // The baseline does not check the covered range: a reply
                     // counts for the whole requested range.
                     run->answer.version = report.version;
                     run->answer.answered.add(range);
                     std::ranges::copy(report.items,
                                       std::back_inserter(run->answer.items));
                 } else if (attempt < max_attempts && run->handle) {
                     send_part(request_number, run, range, shard, attempt + 1);
                     return;
                 }
                 if (--run->open_parts == 0) {
                     finish(run);
                 }
             });
}

void baseline_node::exchange(std::size_t request_number,
                             policy::sub_request request, report_hook handle)
{
    fleet_.count_decision();
    request.id = {node_number_ + 1, next_serial_++};
    auto& fake = fleet_.upstream(request.target);
    const bool is_connected =
        !fake.is_down() &&
        fleet_.is_connected(fleet_.domain_of(fake.description()),
                            fleet_.domain_of(node_number_));
    if (!is_connected) {
        fleet_.run_at_node(node_number_, connection_refused_delay,
                           [handle] { handle({}); });
        return;
    }
    const auto delay = fleet_.shape().link_time;
    fleet_.scheduler().after(delay, [this, &fake, request_number, request,
                                     delay, handle] {
        fake.serve(
            request_number, request,
            [this, delay, handle](const policy::upstream_report& report) {
                fleet_.run_at_node(node_number_, delay, [this, handle, report] {
                    fleet_.count_decision();
                    handle(report);
                });
            });
    });
}

void baseline_node::run_order(std::size_t request_number,
                              const policy::order& order, outcome_hook handle)
{
    auto pending_handle = std::make_shared<outcome_hook>(std::move(handle));
    try_order(request_number, order, 1, pending_handle);
    fleet_.run_at_node(node_number_, order.deadline - fleet_.scheduler().now(),
                       [pending_handle] {
                           if (auto hook =
                                   std::exchange(*pending_handle, nullptr)) {
                               hook({policy::order_status::unknown, {}, {}});
                           }
                       });
}

void baseline_node::try_order(
    std::size_t request_number, const policy::order& order,
    std::uint32_t attempt, const std::shared_ptr<outcome_hook>& pending_handle)
{
    const auto shards = fleet_.deployment()->shards_of_service("orders");
    policy::sub_request request;
    request.target = next_replica(shards.front());
    request.range = {order.position, order.position + 1};
    request.is_idempotent = false;
    exchange(request_number, std::move(request),
             [this, request_number, order, attempt,
              pending_handle](const policy::upstream_report& report) {
                 if (report.outcome == upstream_outcome::answered) {
                     if (auto hook = std::exchange(*pending_handle, nullptr)) {
                         hook({policy::order_status::ran, {}, {}});
                     }
                     return;
                 }
                 if (attempt < max_attempts && *pending_handle) {
                     try_order(request_number, order, attempt + 1,
                               pending_handle);
                     return;
                 }
                 if (auto hook = std::exchange(*pending_handle, nullptr)) {
                     hook({policy::order_status::not_run, {}, {}});
                 }
             });
}

} // namespace tamarackhoist::replay
