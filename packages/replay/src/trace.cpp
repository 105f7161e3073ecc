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

/// Fault of one line; caught by `parse_trace`.
struct line_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The `key=value` words of one line.
class line_fields
{
public:
    explicit line_fields(std::istringstream& words)
    {
        for (std::string word; words >> word;) {
            const auto equals = word.find('=');
            if (equals == std::string::npos) {
                throw line_error("\"" + word + "\" is not key=value");
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
            throw line_error("\"" + key + "\" is missing");
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
            throw line_error("\"" + key + "\" is not FROM:UNTIL");
        }
        return {runtime::time_point(
                    runtime::from_seconds(parse(key, value->substr(0, colon)))),
                runtime::time_point(runtime::from_seconds(
                    parse(key, value->substr(colon + 1))))};
    }

    void finish() const
    {
        if (!values_.empty()) {
            throw line_error("\"" + values_.begin()->first +
                             "\" is not known here");
        }
    }

private:
    static double parse(const std::string& key, const std::string& value)
    {
        double number = 0;
        const auto* end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            throw line_error("\"" + key + "\" is not a number");
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

policy::class_index class_of(const trace& read, const std::string& name)
{
    const auto found =
        std::ranges::find(read.classes, name, &policy::priority_class::name);
    if (found == read.classes.end()) {
        throw line_error("class \"" + name + "\" does not exist");
    }
    return static_cast<policy::class_index>(found - read.classes.begin());
}

arrivals read_arrivals(line_fields& fields, const trace& read, bool is_order)
{
    arrivals value;
    value.rank = class_of(read, fields.required("class"));
    value.is_order = is_order;
    value.from = fields.time("from");
    value.until = fields.time("until");
    const auto load = fields.number("load");
    const auto rate = fields.number("rate");
    if (load.has_value() == rate.has_value()) {
        throw line_error("give either load or rate");
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

outcome read_outcome(line_fields& fields, const trace& read)
{
    outcome value;
    value.name = fields.required("name");
    value.measure = fields.required("measure");
    if (const auto name = fields.text("class")) {
        value.rank = class_of(read, *name);
    }
    value.window = fields.window("window");
    value.over = fields.window("over");
    const auto most = fields.number("most");
    const auto least = fields.number("least");
    value.is_report = !most && !least;
    value.is_upper_bound = !least;
    value.bound = most.value_or(least.value_or(0));
    return value;
}

void read_line(const std::string& line, trace& read)
{
    std::istringstream words(line);
    std::string verb;
    words >> verb;
    line_fields fields(words);
    if (verb == "fleet") {
        read_fleet(fields, read.shape);
    } else if (verb == "class") {
        read.classes.push_back(read_class(fields, read.classes.size()));
    } else if (verb == "queries" || verb == "orders") {
        read.work.push_back(read_arrivals(fields, read, verb == "orders"));
    } else if (verb == "event") {
        read.events.push_back(read_event(fields));
    } else if (verb == "outcome") {
        read.outcomes.push_back(read_outcome(fields, read));
    } else if (verb == "trace") {
        read.name = fields.required("name");
    } else {
        throw line_error("\"" + verb + "\" is not known");
    }
    fields.finish();
}

} // namespace

runtime::time_point trace::end() const
{
    runtime::time_point last;
    for (const auto& each : work) {
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
    trace read;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        const auto first = line.find_first_not_of(" \t");
        if (first == std::string::npos || line[first] == '#') {
            continue;
        }
        try {
            read_line(line, read);
        } catch (const line_error& error) {
            return "line " + std::to_string(number) + ": " + error.what();
        }
    }
    if (read.classes.empty()) {
        return std::string("the trace has no class");
    }
    return read;
}

} // namespace tamarackhoist::replay
