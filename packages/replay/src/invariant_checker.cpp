#include <tamarackhoist/replay/invariant_checker.hpp>

#include <algorithm>

namespace tamarackhoist::replay
{

using policy::order_status;
using policy::query_status;

invariant_checker::invariant_checker(policy::key grid_step)
    : grid_step_(grid_step)
{
}

std::size_t invariant_checker::add_request(
    policy::class_index rank, bool is_order, runtime::time_point arrived_at,
    runtime::time_point deadline, const policy::key_range_set& requested_ranges)
{
    request added;
    added.rank = rank;
    added.is_order = is_order;
    added.arrived_at = arrived_at;
    added.deadline = deadline;
    added.requested_ranges = requested_ranges;
    requests_.push_back(std::move(added));
    return requests_.size() - 1;
}

void invariant_checker::record_execution(std::size_t request_number,
                                         policy::key begin)
{
    auto& each = requests_[request_number];
    ++each.run_count;
    ++executions_;
    if (std::ranges::find(each.started_parts, begin) !=
        each.started_parts.end()) {
        ++repeated_executions_;
        return;
    }
    each.started_parts.push_back(begin);
}

void invariant_checker::record_connection_count(std::uint32_t open,
                                                std::uint32_t limit)
{
    if (open > limit) {
        connections_over_limit_ =
            std::max<std::uint64_t>(connections_over_limit_, open - limit);
    }
}

std::string invariant_checker::item_value(std::size_t request_number,
                                          policy::index_version version)
{
    return std::to_string(version) + ":" + std::to_string(request_number);
}

void invariant_checker::record_answer(std::size_t request_number,
                                      const policy::query_answer& answer,
                                      runtime::time_point now)
{
    auto& each = requests_[request_number];
    each.is_answered = true;
    each.query_status = answer.status;
    each.answered_at = now;
    each.coverage = static_cast<double>(answer.answered.size()) /
                    static_cast<double>(each.requested_ranges.size());
    check_answer(each, request_number, answer);
}

void invariant_checker::check_answer(const request& each,
                                     std::size_t request_number,
                                     const policy::query_answer& answer)
{
    // The answered and the missing ranges must cover the requested ranges
    // without overlapping.
    policy::key_range_set reported = answer.answered;
    policy::key reported_size = answer.answered.size();
    for (const auto& missing : answer.missing) {
        reported.add(missing.range);
        reported_size += missing.range.size();
    }
    const bool is_exact_cover = reported == each.requested_ranges &&
                                reported_size == each.requested_ranges.size();

    // The items must be exactly those of the answered ranges.
    std::vector<policy::key> positions;
    bool has_mixed_versions = false;
    bool has_foreign_items = false;
    const auto expected_value = item_value(request_number, answer.version);
    for (const auto& item : answer.items) {
        positions.push_back(item.position);
        if (item.value == expected_value) {
            continue;
        }
        const auto colon = item.value.find(':');
        const bool is_own =
            item.value.substr(colon + 1) == std::to_string(request_number);
        (is_own ? has_mixed_versions : has_foreign_items) = true;
    }
    std::ranges::sort(positions);
    std::vector<policy::key> expected_positions;
    for (const auto& range : answer.answered.ranges()) {
        const auto first =
            (range.begin + grid_step_ - 1) / grid_step_ * grid_step_;
        for (auto key = first; key < range.end; key += grid_step_) {
            expected_positions.push_back(key);
        }
    }
    mixed_versions_ += has_mixed_versions ? 1 : 0;
    foreign_items_ += has_foreign_items ? 1 : 0;
    coverage_wrong_ +=
        is_exact_cover && positions == expected_positions ? 0 : 1;
}

void invariant_checker::record_outcome(std::size_t request_number,
                                       const policy::order_outcome& outcome,
                                       runtime::time_point now)
{
    auto& each = requests_[request_number];
    each.is_answered = true;
    each.order_status = outcome.status;
    each.answered_at = now;
    each.coverage = outcome.status == order_status::ran ? 1 : 0;
}

std::uint64_t invariant_checker::violations::total() const
{
    return mixed_versions + coverage_wrong + foreign_items + refused_but_run +
           doubled + drain_late_work + connections_over_limit;
}

invariant_checker::violations invariant_checker::find_violations() const
{
    violations found;
    found.mixed_versions = mixed_versions_;
    found.coverage_wrong = coverage_wrong_;
    found.foreign_items = foreign_items_;
    found.drain_late_work = drain_late_work_;
    found.connections_over_limit = connections_over_limit_;
    for (const auto& each : requests_) {
        if (each.is_order && each.run_count > 1) {
            ++found.doubled;
        }
        if (!each.is_answered) {
            continue;
        }
        const bool is_refused =
            each.is_order ? each.order_status == order_status::not_run
                          : each.query_status == query_status::not_run;
        if (is_refused && each.run_count > 0) {
            ++found.refused_but_run;
        }
        // An order that was reported as run must have run.
        if (each.is_order && each.order_status == order_status::ran &&
            each.run_count == 0) {
            ++found.coverage_wrong;
        }
    }
    return found;
}

} // namespace tamarackhoist::replay
