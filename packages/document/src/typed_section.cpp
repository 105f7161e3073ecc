#include <tamarackhoist/document/typed_section.hpp>

#include <boost/asio/ip/address.hpp>
#include <functional>
#include <map>
#include <tamarackhoist/document/section_reader.hpp>

namespace tamarackhoist::document
{

namespace
{

constexpr std::uint64_t max_rank = 7;
constexpr std::uint64_t max_attempts = 5;
constexpr std::uint64_t max_slots = 4096;
constexpr std::uint64_t max_connections = 65535;
constexpr std::uint64_t max_port = 65535;

section_content read_team(section_reader& reader, const std::string& name)
{
    (void)reader.optional_text("contact");
    return team{name};
}

section_content read_failure_domain(section_reader& reader,
                                    const std::string& name)
{
    return failure_domain{name, reader.required_text("region")};
}

section_content read_class(section_reader& reader, const std::string& name)
{
    policy::priority_class value;
    value.name = name;
    value.rank =
        static_cast<std::uint32_t>(reader.required_number("rank", 0, max_rank));
    value.deadline = reader.required_duration("deadline");
    value.guaranteed_share = reader.optional_fraction("guaranteed_share", 0);
    value.allows_partial = reader.optional_flag("allow_partial", false);
    return value;
}

section_content read_retry(section_reader& reader, const std::string& name)
{
    return retry_policy{name,
                        static_cast<std::uint32_t>(reader.required_number(
                            "max_attempts", 1, max_attempts)),
                        reader.optional_flag("hedge", false)};
}

section_content read_service(section_reader& reader, const std::string& name)
{
    policy::service value;
    value.name = name;
    const auto kind = reader.required_text("kind");
    if (kind == "order") {
        value.kind = policy::service_kind::order;
    } else if (kind != "query" && !kind.empty()) {
        reader.fail("kind", "\"" + kind + "\" is neither query nor order");
    }
    return value;
}

section_content read_shard(section_reader& reader, const std::string& name)
{
    shard_section value;
    value.description.name = name;
    value.description.service = reader.required_text("service");
    value.description.index = reader.optional_text("index");
    value.description.range = reader.required_range("range");
    value.replicas = reader.required_list("replicas");
    for (const auto& each : value.replicas) {
        value.description.replicas.push_back(
            policy::upstream_id::from_name(each));
    }
    return value;
}

section_content read_upstream(section_reader& reader, const std::string& name)
{
    policy::upstream value;
    value.id = policy::upstream_id::from_name(name);
    value.name = name;
    value.service = reader.required_text("service");
    value.address = reader.required_text("address");
    boost::system::error_code invalid;
    boost::asio::ip::make_address(value.address, invalid);
    if (invalid && !value.address.empty()) {
        reader.fail("address",
                    "\"" + value.address + "\" is not an IP address");
    }
    value.port =
        static_cast<std::uint16_t>(reader.required_number("port", 1, max_port));
    value.failure_domain = reader.required_text("failure_domain");
    value.slots = static_cast<std::uint32_t>(
        reader.required_number("slots", 1, max_slots));
    value.connections = static_cast<std::uint32_t>(
        reader.required_number("connections", 1, max_connections));
    return value;
}

section_content read_caller(section_reader& reader, const std::string& name)
{
    caller_section value;
    value.name = name;
    value.query_class = reader.required_text("query_class");
    value.order_class = reader.optional_text("order_class");
    if (value.order_class.empty()) {
        value.order_class = value.query_class;
    }
    return value;
}

using content_reader =
    std::function<section_content(section_reader&, const std::string&)>;

const std::map<std::string, content_reader, std::less<>>& content_readers()
{
    static const std::map<std::string, content_reader, std::less<>> readers{
        {"team", read_team},         {"failure_domain", read_failure_domain},
        {"class", read_class},       {"retry", read_retry},
        {"service", read_service},   {"shard", read_shard},
        {"upstream", read_upstream}, {"caller", read_caller},
    };
    return readers;
}

} // namespace

runtime::result<typed_section, std::vector<document_error>>
parse_section(const ini_section& section)
{
    const auto found = content_readers().find(section.kind);
    if (found == content_readers().end()) {
        auto errors = section.errors;
        errors.push_back({section.title,
                          {},
                          section.line,
                          "unknown section kind \"" + section.kind + "\""});
        return errors;
    }
    section_reader reader(section);
    if (section.name.empty()) {
        reader.fail({}, "the section has no name after its kind");
    }
    typed_section value;
    value.title = section.title;
    value.line = section.line;
    value.owner =
        section.kind == "team" ? section.name : reader.required_text("owner");
    value.content = found->second(reader, section.name);
    auto errors = reader.finish();
    if (!errors.empty()) {
        return errors;
    }
    return value;
}

} // namespace tamarackhoist::document
