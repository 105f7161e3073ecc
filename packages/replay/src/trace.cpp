#include <tamarackhoist/replay/trace.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace tamarackhoist::replay
{

namespace
{

/// Syntax error in a line; caught by `parse_trace`, which adds the line number.
struct line_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The `key=value` fields of one line. Reading a field removes it, so that
/// unknown keys remain.
class line_fields
{
public:
    explicit line_fields(std::istringstream& words)
    {
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            if (equals == std::string::npos) {
                throw line_error("expected key=value, found \"" + word + "\"");
            }
            values_[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }

    std::optional<std::string> text(const std::string& key)
    {
        const auto found = values_.find(key);
        if (found == values_.end()) {
            return std::nullopt;
        }
        auto value = found->second;
        values_.erase(found);
        return value;
    }

    std::string required(const std::string& key)
    {
        auto value = text(key);
        if (!value) {
            throw line_error("key \"" + key + "\" is missing");
        }
        return *value;
    }

    std::optional<double> number(const std::string& key)
    {
        const auto value = text(key);
        if (!value) {
            return std::nullopt;
        }
        return parse(key, *value);
    }

    double number_or(const std::string& key, double fallback)
    {
        return number(key).value_or(fallback);
    }

    runtime::time_point time(const std::string& key, double fallback = 0)
    {
        return runtime::time_point(
            runtime::from_seconds(number_or(key, fallback)));
    }

    time_window window(const std::string& key)
    {
        const auto value = text(key);
        if (!value) {
            return {runtime::time_point(), runtime::time_point::max()};
        }
        const auto colon = value->find(':');
        if (colon == std::string::npos) {
            throw line_error("value \"" + *value + "\" of key \"" + key +
                             "\" is not FROM:UNTIL");
        }
        return {runtime::time_point(
                    runtime::from_seconds(parse(key, value->substr(0, colon)))),
                runtime::time_point(runtime::from_seconds(
                    parse(key, value->substr(colon + 1))))};
    }

    void check_all_used() const
    {
        if (!values_.empty()) {
            throw line_error("unknown key \"" + values_.begin()->first + "\"");
        }
    }

private:
    static double parse(const std::string& key, const std::string& value)
    {
        double number = 0;
        const auto* end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            throw line_error("value \"" + value + "\" of key \"" + key +
                             "\" is not a number");
        }
        return number;
    }

    std::map<std::string, std::string> values_;
};

runtime::duration milliseconds(double value)
{
    return runtime::from_seconds(value / 1e3);
}

void read_fleet(line_fields& fields, fleet_shape& shape)
{
    const auto count = [&](const char* key, std::size_t& value) {
        value = static_cast<std::size_t>(
            fields.number_or(key, static_cast<double>(value)));
    };
    count("nodes", shape.nodes);
    count("domains", shape.domains);
    count("shards", shape.shards);
    count("replicas", shape.replicas);
    count("order_upstreams", shape.order_upstreams);
    shape.slots =
        static_cast<std::uint32_t>(fields.number_or("slots", shape.slots));
    shape.connections = static_cast<std::uint32_t>(
        fields.number_or("connections", shape.connections));
    shape.seed = static_cast<std::uint64_t>(
        fields.number_or("seed", static_cast<double>(shape.seed)));
    if (const auto value = fields.number("service_ms")) {
        shape.service_time = milliseconds(*value);
    }
    if (const auto value = fields.number("connect_ms")) {
        shape.connect_time = milliseconds(*value);
    }
    if (const auto value = fields.number("link_ms")) {
        shape.link_time = milliseconds(*value);
    }
}

policy::priority_class read_class(line_fields& fields, std::size_t rank)
{
    policy::priority_class value;
    value.name = fields.required("name");
    value.rank = static_cast<std::uint32_t>(rank);
    value.deadline = milliseconds(fields.number_or("deadline_ms", 250));
    value.guaranteed_share = fields.number_or("share", 0);
    value.allows_partial = fields.number_or("partial", 0) != 0;
    value.may_hedge = fields.number_or("hedge", 1) != 0;
    value.max_attempts =
        static_cast<std::uint32_t>(fields.number_or("attempts", 3));
    return value;
}

policy::class_index class_of(const trace& parsed_trace, const std::string& name)
{
    const auto found = std::ranges::find(parsed_trace.classes, name,
                                         &policy::priority_class::name);
    if (found == parsed_trace.classes.end()) {
        throw line_error("class \"" + name + "\" does not exist");
    }
    return static_cast<policy::class_index>(found -
                                            parsed_trace.classes.begin());
}

arrival_process read_arrival_process(line_fields& fields,
                                     const trace& parsed_trace, bool is_order)
{
    arrival_process value;
    value.rank = class_of(parsed_trace, fields.required("class"));
    value.is_order = is_order;
    value.from = fields.time("from");
    value.until = fields.time("until");
    const auto load = fields.number("load");
    const auto rate = fields.number("rate");
    if (load.has_value() == rate.has_value()) {
        throw line_error("exactly one of the keys load and rate is required");
    }
    value.is_rate = rate.has_value();
    value.amount = load.value_or(rate.value_or(0));
    return value;
}

trace_event read_event(line_fields& fields)
{
    static const std::map<std::string, event_kind> kinds{
        {"slow", event_kind::slow},
        {"down", event_kind::down},
        {"hang", event_kind::hang},
        {"lose_replies", event_kind::lose_replies},
        {"drain", event_kind::drain},
        {"rollover", event_kind::rollover},
        {"split", event_kind::split},
        {"pause", event_kind::pause},
        {"replace", event_kind::replace},
        {"partition", event_kind::partition},
    };
    const auto name = fields.required("kind");
    const auto found = kinds.find(name);
    if (found == kinds.end()) {
        throw line_error("event kind \"" + name + "\" does not exist");
    }
    trace_event value;
    value.kind = found->second;
    value.at = fields.time("at");
    value.until = fields.time("until", 1e6);
    value.target = static_cast<std::size_t>(fields.number_or("target", 0));
    value.modulus = static_cast<std::size_t>(fields.number_or("modulus", 0));
    value.factor = fields.number_or("factor", 1);
    return value;
}

expected_outcome read_outcome(line_fields& fields, const trace& parsed_trace)
{
    expected_outcome outcome;
    outcome.name = fields.required("name");
    outcome.measure = fields.required("measure");
    if (const auto name = fields.text("class")) {
        outcome.rank = class_of(parsed_trace, *name);
    }
    outcome.window = fields.window("window");
    outcome.reference_window = fields.window("over");
    const auto most = fields.number("most");
    const auto least = fields.number("least");
    outcome.is_report_only = !most && !least;
    outcome.is_upper_bound = !least;
    outcome.bound = most.value_or(least.value_or(0));
    return outcome;
}

void read_line(const std::string& line, trace& parsed_trace)
{
    std::istringstream words(line);
    std::string directive;
    words >> directive;
    line_fields fields(words);
    if (directive == "fleet") {
        read_fleet(fields, parsed_trace.shape);
    } else if (directive == "class") {
        parsed_trace.classes.push_back(
            read_class(fields, parsed_trace.classes.size()));
    } else if (directive == "queries" || directive == "orders") {
        parsed_trace.arrivals.push_back(
            read_arrival_process(fields, parsed_trace, directive == "orders"));
    } else if (directive == "event") {
        parsed_trace.events.push_back(read_event(fields));
    } else if (directive == "outcome") {
        parsed_trace.outcomes.push_back(read_outcome(fields, parsed_trace));
    } else if (directive == "trace") {
        parsed_trace.name = fields.required("name");
    } else {
        throw line_error("unknown directive \"" + directive + "\"");
    }
    fields.check_all_used();
}

} // namespace

runtime::time_point trace::arrivals_end() const
{
    runtime::time_point last;
    for (const auto& each : arrivals) {
        last = std::max(last, each.until);
    }
    return last;
}

double trace::capacity() const
{
    const auto upstreams =
        static_cast<double>(shape.shards * shape.replicas * shape.slots);
    return upstreams / runtime::to_seconds(shape.service_time) /
           static_cast<double>(shape.shards);
}

runtime::result<trace, std::string> parse_trace(std::string_view text)
{
    trace parsed_trace;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        const auto first = line.find_first_not_of(" \t");
        if (first == std::string::npos || line[first] == '#') {
            continue;
        }
        try {
            read_line(line, parsed_trace);
        } catch (const line_error& error) {
            return "line " + std::to_string(number) + ": " + error.what();
        }
    }
    if (parsed_trace.classes.empty()) {
        return std::string("the trace defines no class");
    }
    return parsed_trace;
}

} // namespace tamarackhoist::replay
