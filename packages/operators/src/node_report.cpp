#include <tamarackhoist/operators/node_report.hpp>

#include <boost/json.hpp>
#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::operators
{

namespace json = boost::json;

namespace
{

/// Reads typed members of JSON objects and remembers the first fault.
class object_reader
{
public:
    std::string text(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        if (value == nullptr || !value->is_string()) {
            fail(name);
            return {};
        }
        return std::string(value->get_string());
    }

    std::uint64_t number(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        if (value == nullptr) {
            fail(name);
            return 0;
        }
        const auto converted = transport::json_number(*value);
        if (!converted) {
            fail(name);
            return 0;
        }
        return *converted;
    }

    bool flag(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        if (value == nullptr || !value->is_bool()) {
            fail(name);
            return false;
        }
        return value->get_bool();
    }

    template <typename Action>
    void each(const json::object& object, const char* name, Action action)
    {
        const auto* list = object.if_contains(name);
        if (list == nullptr || !list->is_array()) {
            fail(name);
            return;
        }
        for (const auto& value : list->get_array()) {
            if (!value.is_object()) {
                fail(name);
                continue;
            }
            action(value.get_object());
        }
    }

    [[nodiscard]] const std::string& fault() const { return fault_; }

private:
    void fail(const char* name)
    {
        if (fault_.empty()) {
            fault_ = "member \"" + std::string(name) + "\" is malformed";
        }
    }

    std::string fault_;
};

} // namespace

std::string encode_report(const node_report& report)
{
    json::array members;
    for (const auto& each : report.members) {
        members.push_back({{"name", each.name},
                           {"state", each.state},
                           {"failure_domain", each.failure_domain},
                           {"address", each.address},
                           {"incarnation", each.incarnation}});
    }
    json::array upstreams;
    for (const auto& each : report.owned_upstreams) {
        upstreams.push_back({{"name", each.name},
                             {"failure_domain", each.failure_domain},
                             {"state", each.state},
                             {"queued", each.queued},
                             {"in_flight", each.in_flight},
                             {"limit", each.limit},
                             {"connections", each.connections},
                             {"version", each.version}});
    }
    json::array sections;
    for (const auto& each : report.sections) {
        sections.push_back({{"title", each.title},
                            {"revision", each.revision},
                            {"fault", each.fault}});
    }
    json::array classes;
    for (const auto& each : report.classes) {
        classes.push_back({{"name", each.name},
                           {"complete", each.complete},
                           {"partial", each.partial},
                           {"not_run", each.not_run},
                           {"failed", each.failed}});
    }
    return json::serialize(json::object{
        {"name", report.name},
        {"failure_domain", report.failure_domain},
        {"is_ready", report.is_ready},
        {"is_confirmed", report.is_confirmed},
        {"document_revision", report.document_revision},
        {"document_hash", report.document_hash},
        {"members", members},
        {"owned_upstreams", upstreams},
        {"sections", sections},
        {"classes", classes},
    });
}

runtime::result<node_report, std::string> decode_report(std::string_view text)
{
    boost::system::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object()) {
        return std::string("the report is not a JSON object");
    }
    const auto& object = parsed.get_object();
    object_reader reader;
    node_report report;
    report.name = reader.text(object, "name");
    report.failure_domain = reader.text(object, "failure_domain");
    report.is_ready = reader.flag(object, "is_ready");
    report.is_confirmed = reader.flag(object, "is_confirmed");
    report.document_revision = reader.number(object, "document_revision");
    report.document_hash = reader.number(object, "document_hash");
    reader.each(object, "members", [&](const json::object& each) {
        report.members.push_back(
            {reader.text(each, "name"), reader.text(each, "state"),
             reader.text(each, "failure_domain"), reader.text(each, "address"),
             reader.number(each, "incarnation")});
    });
    reader.each(object, "owned_upstreams", [&](const json::object& each) {
        report.owned_upstreams.push_back(
            {reader.text(each, "name"), reader.text(each, "failure_domain"),
             reader.text(each, "state"), reader.number(each, "queued"),
             reader.number(each, "in_flight"), reader.number(each, "limit"),
             reader.number(each, "connections"),
             reader.number(each, "version")});
    });
    reader.each(object, "sections", [&](const json::object& each) {
        report.sections.push_back({reader.text(each, "title"),
                                   reader.number(each, "revision"),
                                   reader.text(each, "fault")});
    });
    reader.each(object, "classes", [&](const json::object& each) {
        report.classes.push_back(
            {reader.text(each, "name"), reader.number(each, "complete"),
             reader.number(each, "partial"), reader.number(each, "not_run"),
             reader.number(each, "failed")});
    });
    if (!reader.fault().empty()) {
        return reader.fault();
    }
    return report;
}

std::string encode_audit(std::span<const runtime::audit_entry> entries)
{
    json::array lines;
    for (const auto& each : entries) {
        const auto at_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                each.at.time_since_epoch())
                .count();
        lines.push_back({{"at_ms", at_ms},
                         {"kind", runtime::to_string(each.kind)},
                         {"subject", each.subject},
                         {"owner", each.owner},
                         {"old_revision", each.old_revision},
                         {"new_revision", each.new_revision},
                         {"detail", each.detail}});
    }
    return json::serialize(json::object{{"entries", lines}});
}

runtime::result<std::vector<audit_line>, std::string>
decode_audit(std::string_view text)
{
    boost::system::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object()) {
        return std::string("the audit trail is not a JSON object");
    }
    object_reader reader;
    std::vector<audit_line> lines;
    reader.each(parsed.get_object(), "entries", [&](const json::object& each) {
        lines.push_back(
            {static_cast<std::int64_t>(reader.number(each, "at_ms")),
             reader.text(each, "kind"), reader.text(each, "subject"),
             reader.text(each, "owner"), reader.number(each, "old_revision"),
             reader.number(each, "new_revision"), reader.text(each, "detail")});
    });
    if (!reader.fault().empty()) {
        return reader.fault();
    }
    return lines;
}

} // namespace tamarackhoist::operators
