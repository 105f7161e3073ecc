#include <tamarackhoist/operators/request_story.hpp>

#include <algorithm>
#include <set>

namespace tamarackhoist::operators
{

using runtime::event_number;
using namespace std::chrono_literals;

namespace
{

/// Period before a request in which a state change may have affected it: the
/// greatest age at which news still counts as recent.
constexpr runtime::duration circumstance_window = 5s;

bool is_earlier(const log_entry& left, const log_entry& right)
{
    return left.since_epoch < right.since_epoch;
}

/// Returns whether an event reports a change of an upstream's availability.
bool is_upstream_event(event_number event)
{
    return event == event_number::upstream_unreachable ||
           event == event_number::upstream_draining ||
           event == event_number::upstream_added ||
           event == event_number::upstream_gone;
}

/// Returns whether an event concerns a single request, not the state of the
/// node. Excludes `lines_left_out`, since suppressed lines may concern any
/// request.
bool is_request_event(event_number event)
{
    return event >= event_number::caller_request_rejected &&
           event < event_number::lines_left_out;
}

/// Selects the log entries that may explain the course of a request, by the
/// nodes, upstreams, services and times of its steps.
struct circumstance_filter {
    std::set<std::string, std::less<>> nodes;
    std::set<std::string, std::less<>> upstreams;
    std::set<std::string, std::less<>> services;
    runtime::duration begin{};
    runtime::duration end{};

    explicit circumstance_filter(std::span<const log_entry> steps)
    {
        begin = steps.front().since_epoch - circumstance_window;
        end = steps.back().since_epoch;
        for (const auto& step : steps) {
            nodes.insert(step.node);
            add(upstreams, step.member("upstream"));
            add(upstreams, step.member("previous"));
            add(upstreams, step.member("chosen"));
            add(services, step.member("service"));
        }
    }

    [[nodiscard]] bool matches(const log_entry& entry) const
    {
        if (is_request_event(entry.event) || !nodes.contains(entry.node) ||
            entry.since_epoch > end) {
            return false;
        }
        if (is_upstream_event(entry.event)) {
            return upstreams.contains(entry.member("upstream").value_or("")) ||
                   services.contains(entry.member("service").value_or(""));
        }
        return entry.since_epoch >= begin;
    }

private:
    static void add(std::set<std::string, std::less<>>& names,
                    std::optional<std::string_view> name)
    {
        if (name && !name->empty()) {
            names.emplace(*name);
        }
    }
};

std::string describe_outcome(const log_entry& step)
{
    const auto text = [&](std::string_view member_name) {
        return std::string(step.member(member_name).value_or("?"));
    };
    if (!step.member("outcome")) {
        return "refused on " + step.node + ": " + text("reason");
    }
    return text("outcome") + " on " + step.node + " after " +
           text("elapsed_ms") + " ms of " + text("deadline_ms") +
           " ms: " + text("answered") + " of " + text("shards") +
           " shards answered, " + text("attempts") + " attempts, " +
           text("hedges") + " hedges, " + text("retries") + " retries, " +
           text("denied_by_budget") + " denied by the budget";
}

std::string describe_missing_shard(const log_entry& step)
{
    const auto text = [&](std::string_view member_name) {
        return std::string(step.member(member_name).value_or("?"));
    };
    if (text("attempts") == "0") {
        return "shard " + text("service") + " is missing: none of " +
               text("ready_upstreams") + " ready upstreams was asked";
    }
    return "shard " + text("service") + " is missing: " + text("attempts") +
           " attempts, the last at " + text("upstream") + " (" +
           text("result") + "), " + text("ready_upstreams") +
           " ready upstreams";
}

std::vector<std::string> describe_conclusions(std::span<const log_entry> steps)
{
    std::vector<std::string> conclusions;
    for (const auto& step : steps) {
        switch (step.event) {
        case event_number::request_not_complete:
        case event_number::request_sampled:
        case event_number::request_not_executed:
            conclusions.push_back(describe_outcome(step));
            break;
        case event_number::shard_missing:
            conclusions.push_back(describe_missing_shard(step));
            break;
        default:
            break;
        }
    }
    return conclusions;
}

} // namespace

request_story build_request_story(std::span<const std::string_view> lines,
                                  std::string_view request)
{
    request_story story;
    std::vector<log_entry> others;
    for (const auto line : lines) {
        auto entry = log_entry::parse(line);
        if (!entry) {
            continue;
        }
        const bool is_step = entry->member("request") == request;
        (is_step ? story.steps : others).push_back(std::move(*entry));
    }
    if (story.steps.empty()) {
        return story;
    }
    std::stable_sort(story.steps.begin(), story.steps.end(), is_earlier);
    const circumstance_filter filter(story.steps);
    for (auto& entry : others) {
        if (filter.matches(entry)) {
            story.circumstances.push_back(std::move(entry));
        }
    }
    std::stable_sort(story.circumstances.begin(), story.circumstances.end(),
                     is_earlier);
    story.conclusions = describe_conclusions(story.steps);
    return story;
}

} // namespace tamarackhoist::operators
