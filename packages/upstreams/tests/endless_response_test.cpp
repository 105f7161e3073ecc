#include "pool_fixture.hpp"
#include <string>
#include <vector>

#include <criterion/criterion.h>

/// Upstreams that send bytes without end in place of an answer, until the
/// connection is closed.

using namespace tamarackhoist;
using upstreams::forward_status;
using upstreams::make_reply;
using upstreams::parse_request_id;
using upstreams::pool_fixture;
using upstreams::scripted_upstream;

namespace
{

/// More than a response may hold, with what the sockets buffer besides.
constexpr std::size_t max_expected_bytes = 32 * 1024 * 1024;

/// Sends a request to an upstream whose replies are endless. Expects that the
/// request ends as broken and that the connection is closed.
void expect_rejected(const std::string& beginning, const std::string& repeated)
{
    pool_fixture fixture([&](const std::string&, int) {
        return scripted_upstream::reply{beginning, false, repeated};
    });
    fixture.send("r");
    fixture.run_until(1);
    cr_assert(fixture.results[0].status == forward_status::broken, "%s",
              beginning.c_str());
    fixture.process_events();
    cr_assert_eq(fixture.pool->connection_count(), 0U);
    cr_assert_eq(fixture.upstream.closed_endless_replies(), 1);
    cr_assert_lt(fixture.upstream.repeated_byte_count(), max_expected_bytes);
}

void endless_heads_are_rejected()
{
    expect_rejected("HTTP/1.1 200 OK\r\nX-Long: ", std::string(1000, 'a'));
    expect_rejected("HTTP/1.1 200 OK\r\nX-Id: r\r\n", "X-Field: value\r\n");
    expect_rejected("HTTP/1.1 200 ", std::string(1000, 'K'));
}

void endless_interim_responses_are_rejected()
{
    expect_rejected("HTTP/1.1 100 Continue\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\n\r\n");
}

void endless_responses_to_other_requests_are_rejected()
{
    expect_rejected(make_reply("other", "one"), make_reply("other", "more"));
}

void endless_chunk_framing_is_rejected()
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    expect_rejected(head + "5;name=", std::string(1000, 'x'));
    expect_rejected(head + "1\r\na\r\n0\r\n", "X-Trailer: value\r\n");
    expect_rejected(head + "1\r\na\r\n0\r\nX-Trailer: ",
                    std::string(1000, 'v'));
}

void endless_bodies_are_rejected()
{
    const std::string block(1000, 'b');
    expect_rejected("HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n", block);
    expect_rejected("HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n",
                    "3e8\r\n" + block + "\r\n");
    expect_rejected("HTTP/1.1 200 OK\r\nX-Id: r\r\n"
                    "Content-Length: 999999999999\r\n\r\n",
                    block);
}

void endless_garbage_is_rejected()
{
    expect_rejected("\x01\x02", std::string(1000, '\x03'));
    expect_rejected("", "\r\n");
}

/// An endless answer on one connection must not delay the answers on others.
void other_requests_are_answered_meanwhile()
{
    pool_fixture fixture(
        [](const std::string& header, int) {
            const auto id = parse_request_id(header);
            if (id != "endless") {
                return scripted_upstream::reply{make_reply(id, "own")};
            }
            return scripted_upstream::reply{
                "HTTP/1.1 200 OK\r\nX-Id: endless\r\n"
                "Transfer-Encoding: chunked\r\n\r\n5;name=",
                false, std::string(1000, 'x')};
        },
        2);
    fixture.send("endless");
    for (int number = 0; number < 20; ++number) {
        fixture.send("r" + std::to_string(number));
    }
    fixture.run_until(21);
    std::size_t answered = 0;
    for (const auto& result : fixture.results) {
        answered += result.status == forward_status::answered ? 1 : 0;
    }
    cr_assert_eq(answered, 20U);
}

} // namespace

Test(endless_response, head)
{
    endless_heads_are_rejected();
}
Test(endless_response, interim)
{
    endless_interim_responses_are_rejected();
}
Test(endless_response, duplicates)
{
    endless_responses_to_other_requests_are_rejected();
}
Test(endless_response, chunk_framing)
{
    endless_chunk_framing_is_rejected();
}
Test(endless_response, body)
{
    endless_bodies_are_rejected();
}
Test(endless_response, garbage)
{
    endless_garbage_is_rejected();
}
Test(endless_response, others)
{
    other_requests_are_answered_meanwhile();
}
