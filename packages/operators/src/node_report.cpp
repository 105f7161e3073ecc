#include <tamarackhoist/operators/node_report.hpp>

#include <boost/json.hpp>
#include <tamarackhoist/transport/json_number.hpp>

namespace tamarackhoist::operators
{

namespace json = boost::json;

namespace
{

/// Reads typed members of JSON objects and keeps the first error.
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
    void for_each_object(const json::object& object, const char* name,
                         Action action)
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

    [[nodiscard]] const std::string& error() const { return error_; }

private:
    void fail(const char* name)
    {
        if (error_.empty()) {
            error_ = "member \"" + std::string(name) +
                     "\" is missing or has the wrong type";
        }
    }

    std::string error_;
};

} // namespace

std::string encode_report(const node_report& report)
{
    json::array members;
    for (const auto& member : report.members) {
        members.push_back({{"name", member.name},
                           {"state", member.state},
                           {"failure_domain", member.failure_domain},
                           {"address", member.address},
                           {"incarnation", member.incarnation}});
    }
    json::array upstreams;
    for (const auto& upstream : report.owned_upstreams) {
        upstreams.push_back({{"name", upstream.name},
                             {"failure_domain", upstream.failure_domain},
                             {"state", upstream.state},
                             {"queued", upstream.queued},
                             {"in_flight", upstream.in_flight},
                             {"limit", upstream.limit},
                             {"connections", upstream.connections},
                             {"version", upstream.version}});
    }
    json::array sections;
    for (const auto& section : report.sections) {
        sections.push_back({{"title", section.title},
                            {"revision", section.revision},
                            {"fault", section.fault}});
    }
    json::array classes;
    for (const auto& priority_class : report.classes) {
        classes.push_back({{"name", priority_class.name},
                           {"complete", priority_class.complete},
                           {"partial", priority_class.partial},
                           {"not_run", priority_class.not_run},
                           {"failed", priority_class.failed}});
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
        return std::string("the status report is not a JSON object");
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
    reader.for_each_object(object, "members", [&](const json::object& member) {
        report.members.push_back({reader.text(member, "name"),
                                  reader.text(member, "state"),
                                  reader.text(member, "failure_domain"),
                                  reader.text(member, "address"),
                                  reader.number(member, "incarnation")});
    });
    reader.for_each_object(object, "owned_upstreams",
                           [&](const json::object& upstream) {
                               report.owned_upstreams.push_back(
                                   {reader.text(upstream, "name"),
                                    reader.text(upstream, "failure_domain"),
                                    reader.text(upstream, "state"),
                                    reader.number(upstream, "queued"),
                                    reader.number(upstream, "in_flight"),
                                    reader.number(upstream, "limit"),
                                    reader.number(upstream, "connections"),
                                    reader.number(upstream, "version")});
                           });
    reader.for_each_object(
        object, "sections", [&](const json::object& section) {
            report.sections.push_back({reader.text(section, "title"),
                                       reader.number(section, "revision"),
                                       reader.text(section, "fault")});
        });
    reader.for_each_object(
        object, "classes", [&](const json::object& priority_class) {
            report.classes.push_back({reader.text(priority_class, "name"),
                                      reader.number(priority_class, "complete"),
                                      reader.number(priority_class, "partial"),
                                      reader.number(priority_class, "not_run"),
                                      reader.number(priority_class, "failed")});
        });
    if (!reader.error().empty()) {
        return reader.error();
    }
    return report;
}

std::string encode_audit(std::span<const runtime::audit_entry> entries)
{
    json::array lines;
    for (const auto& entry : entries) {
        const auto at_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                entry.at.time_since_epoch())
                .count();
        lines.push_back({{"at_ms", at_ms},
                         {"kind", runtime::to_string(entry.kind)},
                         {"subject", entry.subject},
                         {"owner", entry.owner},
                         {"old_revision", entry.old_revision},
                         {"new_revision", entry.new_revision},
                         {"detail", entry.detail}});
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
    reader.for_each_object(
        parsed.get_object(), "entries", [&](const json::object& entry) {
            lines.push_back(
                {static_cast<std::int64_t>(reader.number(entry, "at_ms")),
                 reader.text(entry, "kind"), reader.text(entry, "subject"),
                 reader.text(entry, "owner"),
                 reader.number(entry, "old_revision"),
                 reader.number(entry, "new_revision"),
                 reader.text(entry, "detail")});
        });
    if (!reader.error().empty()) {
        return reader.error();
    }
    return lines;
}

} // namespace tamarackhoist::operators
