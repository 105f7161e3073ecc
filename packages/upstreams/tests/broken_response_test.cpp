#include "../../transport/tests/broken_responses.hpp"
#include "pool_fixture.hpp"
#include <string>
#include <vector>

#include <criterion/criterion.h>

/// Upstreams whose answers are not valid HTTP.

using namespace tamarackhoist;
using upstreams::forward_status;
using upstreams::pool_fixture;
using upstreams::scripted_upstream;

namespace
{

const std::string request_id_line = "X-Id: r\r\n";

/// Expects that each response ends its request as broken, whether or not the
/// connection ends with it, and that the connection is not used again.
void expect_rejected(const std::vector<std::string>& responses)
{
    for (const auto& bytes : responses) {
        pool_fixture fixture([&](const std::string&, int) {
            return scripted_upstream::reply{bytes, true};
        });
        fixture.send("r");
        fixture.run_until(1);
        cr_expect(fixture.results[0].status == forward_status::broken, "%s",
                  bytes.c_str());
        fixture.process_events();
        cr_expect_eq(fixture.pool->connection_count(), 0U);
    }
}

void invalid_statuses_are_rejected()
{
    expect_rejected(transport::make_invalid_statuses(request_id_line));
}

void invalid_field_names_are_rejected()
{
    expect_rejected(transport::make_invalid_field_names(request_id_line));
}

void folded_heads_are_rejected()
{
    expect_rejected(transport::make_folded_heads(request_id_line));
}

void unsupported_codings_are_rejected()
{
    expect_rejected(transport::make_unsupported_codings(request_id_line));
}

void invalid_chunks_are_rejected()
{
    expect_rejected(transport::make_invalid_chunks(request_id_line));
}

void invalid_trailers_are_rejected()
{
    expect_rejected(transport::make_invalid_trailers(request_id_line));
}

/// A field of more than 64 KiB, which Beast can't store, must not end the
/// process.
void a_large_trailer_is_survived()
{
    pool_fixture fixture([](const std::string&, int) {
        return scripted_upstream::reply{
            transport::make_response_with_trailer(
                request_id_line,
                "X-Name: " + std::string(64 * 1024, 'v') + "\r\n"),
            true};
    });
    fixture.send("r");
    fixture.run_until(1);
}

/// No request asks for another protocol, so what follows belongs to none.
void a_switch_of_protocols_is_rejected()
{
    expect_rejected({"HTTP/1.1 101 Switching Protocols\r\n"
                     "Connection: upgrade\r\nUpgrade: other\r\n\r\n" +
                     upstreams::make_reply("r", "body")});
}

} // namespace

Test(broken_response, status)
{
    invalid_statuses_are_rejected();
}
Test(broken_response, field_names)
{
    invalid_field_names_are_rejected();
}
Test(broken_response, folded_heads)
{
    folded_heads_are_rejected();
}
Test(broken_response, transfer_codings)
{
    unsupported_codings_are_rejected();
}
Test(broken_response, chunks)
{
    invalid_chunks_are_rejected();
}
Test(broken_response, trailers)
{
    invalid_trailers_are_rejected();
}
Test(broken_response, large_trailer)
{
    a_large_trailer_is_survived();
}
Test(broken_response, switching_protocols)
{
    a_switch_of_protocols_is_rejected();
}
