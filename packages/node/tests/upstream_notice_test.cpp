#include "../src/upstream_notice.hpp"
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace
{

node::upstream_notice read(http::status status, const std::string& name,
                           const std::string& value)
{
    auto response = transport::make_response(status, {}, "text/plain");
    response.set(name, value);
    node::forward_fields fields;
    fields.leaving = "X-Leaving";
    return node::read_upstream_notice(response, fields);
}

void any_answer_can_say_that_the_upstream_leaves()
{
    for (const auto status :
         {http::status::ok, http::status::internal_server_error,
          http::status::service_unavailable,
          http::status::misdirected_request}) {
        cr_assert(read(status, "X-Leaving", "1").is_leaving);
        cr_assert(!read(status, "X-Leaving", "0").is_leaving);
        cr_assert(!read(status, "X-Other", "1").is_leaving);
    }
}

void a_pause_is_a_number_of_seconds()
{
    const auto unavailable = http::status::service_unavailable;
    cr_assert(read(unavailable, "Retry-After", "4").pause == 4s);
    cr_assert(read(unavailable, "Retry-After", "0.25").pause == 250ms);
    cr_assert(read(unavailable, "Retry-After", "0").pause == 0s);
    cr_assert(
        *read(unavailable, "Retry-After", "999999999999999999999999").pause >
        24h);
    cr_assert(!read(http::status::ok, "Retry-After", "4").pause);
    cr_assert(!read(http::status::too_many_requests, "Retry-After", "4").pause);
}

void a_pause_that_cannot_be_read_is_ignored()
{
    const std::vector<std::string> malformed{
        "",   "-1",  "-0",   "nan", "inf", "soon",
        "4s", "1e3", "0x10", "4 5", "1,5", "Fri, 31 Dec 1999 23:59:59 GMT"};
    for (const auto& value : malformed) {
        const auto notice =
            read(http::status::service_unavailable, "Retry-After", value);
        cr_assert(!notice.pause, "%s", value.c_str());
        cr_assert(notice.is_pause_malformed, "%s", value.c_str());
    }
}

} // namespace

Test(upstream_notice, leaving)
{
    any_answer_can_say_that_the_upstream_leaves();
}
Test(upstream_notice, pause)
{
    a_pause_is_a_number_of_seconds();
}
Test(upstream_notice, malformed)
{
    a_pause_that_cannot_be_read_is_ignored();
}
