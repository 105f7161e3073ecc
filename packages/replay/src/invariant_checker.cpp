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

std::size_t invariant_checker::add_request(policy::class_index rank,
                                           bool is_order,
                                           runtime::time_point arrived_at,
                                           runtime::time_point deadline,
                                           const policy::key_range_set& asked)
{
    request added;
    added.rank = rank;
    added.is_order = is_order;
    added.arrived_at = arrived_at;
    added.deadline = deadline;
    added.asked = asked;
    requests_.push_back(std::move(added));
    return requests_.size() - 1;
}

void invariant_checker::on_run(std::size_t number, policy::key begin)
{
    auto& each = requests_[number];
    ++each.runs;
    ++received_;
    if (std::ranges::find(each.parts, begin) != each.parts.end()) {
        ++received_again_;
        return;
    }
    each.parts.push_back(begin);
}

void invariant_checker::on_connections(std::uint32_t open, std::uint32_t limit)
{
    if (open > limit) {
        connections_over_limit_ =
            std::max<std::uint64_t>(connections_over_limit_, open - limit);
    }
}

std::string invariant_checker::item_value(std::size_t number,
                                          policy::index_version version)
{
    return std::to_string(version) + ":" + std::to_string(number);
}

void invariant_checker::on_answer(std::size_t number,
                                  const policy::query_answer& answer,
                                  runtime::time_point now)
{
    auto& each = requests_[number];
    each.is_answered = true;
    each.status = answer.status;
    each.answered_at = now;
    each.coverage = static_cast<double>(answer.answered.size()) /
                    static_cast<double>(each.asked.size());
    check_items(each, number, answer);
}

void invariant_checker::check_items(const request& each, std::size_t number,
                                    const policy::query_answer& answer)
{
    // Answered and missing ranges divide the asked ranges.
    policy::key_range_set stated = answer.answered;
    policy::key stated_size = answer.answered.size();
    for (const auto& missing : answer.missing) {
        stated.add(missing.range);
        stated_size += missing.range.size();
    }
    const bool divides =
        stated == each.asked && stated_size == each.asked.size();

    // The items are exactly those of the answered ranges.
    std::vector<policy::key> positions;
    bool has_mixed = false;
    bool has_foreign = false;
    const auto expected = item_value(number, answer.version);
    for (const auto& item : answer.items) {
        positions.push_back(item.position);
        if (item.value == expected) {
            continue;
        }
        const auto colon = item.value.find(':');
        const bool is_own =
            item.value.substr(colon + 1) == std::to_string(number);
        (is_own ? has_mixed : has_foreign) = true;
    }
    std::ranges::sort(positions);
    std::vector<policy::key> wanted;
    for (const auto& range : answer.answered.ranges()) {
        const auto first =
            (range.begin + grid_step_ - 1) / grid_step_ * grid_step_;
        for (auto key = first; key < range.end; key += grid_step_) {
            wanted.push_back(key);
        }
    }
    mixed_versions_ += has_mixed ? 1 : 0;
    foreign_items_ += has_foreign ? 1 : 0;
    coverage_wrong_ += divides && positions == wanted ? 0 : 1;
}

void invariant_checker::on_outcome(std::size_t number,
                                   const policy::order_outcome& told,
                                   runtime::time_point now)
{
    auto& each = requests_[number];
    each.is_answered = true;
    each.told = told.status;
    each.answered_at = now;
    each.coverage = told.status == order_status::ran ? 1 : 0;
}

std::uint64_t invariant_checker::violations::total() const
{
    return mixed_versions + coverage_wrong + foreign_items + refused_but_run +
           doubled + drain_late_work + connections_over_limit;
}

invariant_checker::violations invariant_checker::check() const
{
    violations found;
    found.mixed_versions = mixed_versions_;
    found.coverage_wrong = coverage_wrong_;
    found.foreign_items = foreign_items_;
    found.drain_late_work = drain_late_work_;
    found.connections_over_limit = connections_over_limit_;
    for (const auto& each : requests_) {
        if (each.is_order && each.runs > 1) {
            ++found.doubled;
        }
        if (!each.is_answered) {
            continue;
        }
        const bool is_refused = each.is_order
                                    ? each.told == order_status::not_run
                                    : each.status == query_status::not_run;
        if (is_refused && each.runs > 0) {
            ++found.refused_but_run;
        }
        // An order that was reported as run did run.
        if (each.is_order && each.told == order_status::ran && each.runs == 0) {
            ++found.coverage_wrong;
        }
    }
    return found;
}

} // namespace tamarackhoist::replay
