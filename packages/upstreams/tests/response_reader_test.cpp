#include "pool_fixture.hpp"
#include <algorithm>
#include <string>
#include <tamarackhoist/upstreams/response_budget.hpp>
#include <tamarackhoist/upstreams/response_reader.hpp>
#include <vector>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using upstreams::response_budget;
using upstreams::response_fault;
using upstreams::response_reader;
using upstreams::response_reservation;

namespace
{

constexpr std::size_t free_bytes = response_reservation::unreserved_bytes;

void small_responses_need_no_reservation()
{
    const auto budget = std::make_shared<response_budget>(0);
    response_reservation small(budget, "service");
    cr_assert(small.grow_to(free_bytes));
    cr_assert(!small.grow_to(free_bytes + 1));
    cr_assert_eq(budget->used(), 0U);
}

void a_reservation_is_given_back()
{
    const auto budget = std::make_shared<response_budget>(1000);
    {
        response_reservation first(budget, "service");
        cr_assert(first.grow_to(free_bytes + 300));
        cr_assert(first.grow_to(free_bytes + 400));
        cr_assert_eq(budget->used(), 400U);
        first.release();
        cr_assert_eq(budget->used(), 0U);
        cr_assert(first.grow_to(free_bytes + 500));
    }
    cr_assert_eq(budget->used(), 0U);
}

/// The upstreams of one service send without end: the others keep half.
void one_service_gets_at_most_half()
{
    const auto budget = std::make_shared<response_budget>(1000);
    response_reservation faulty(budget, "faulty");
    response_reservation faulty_too(budget, "faulty");
    response_reservation healthy(budget, "healthy");
    cr_assert(faulty.grow_to(free_bytes + 400));
    cr_assert(!faulty_too.grow_to(free_bytes + 101));
    cr_assert(faulty_too.grow_to(free_bytes + 100));
    cr_assert(healthy.grow_to(free_bytes + 500));
    cr_assert(!healthy.grow_to(free_bytes + 501));
}

/// A few dozen endless bodies at once: a node holds no more than its budget and
/// the part that each response may hold anyway.
void many_endless_bodies_stay_within_the_budget()
{
    constexpr std::size_t readers = 130;
    constexpr std::size_t max_bytes = std::size_t(8) * 1024 * 1024;
    const auto budget = std::make_shared<response_budget>(max_bytes);
    std::vector<std::unique_ptr<response_reader>> all;
    for (std::size_t number = 0; number < readers; ++number) {
        all.push_back(
            std::make_unique<response_reader>(response_reader::options{
                .request_id_field = "X-Id",
                .service = "shard-" + std::to_string(number),
                .budget = budget}));
        all.back()->start("r", false);
        const auto begun =
            all.back()->read("HTTP/1.1 200 OK\r\nX-Id: r\r\n\r\n");
        cr_assert(begun == response_reader::progress::incomplete);
    }
    const std::string block(16 * 1024, 'b');
    std::vector<bool> is_rejected(readers, false);
    for (int round = 0; round < 300; ++round) {
        for (std::size_t number = 0; number < readers; ++number) {
            if (is_rejected[number]) {
                continue;
            }
            const auto progress = all[number]->read(block);
            is_rejected[number] =
                progress == response_reader::progress::rejected;
            cr_assert_leq(budget->used(), max_bytes);
        }
    }
    cr_assert(std::find(is_rejected.begin(), is_rejected.end(), false) ==
              is_rejected.end());
    cr_assert_eq(budget->used(), 0U);
}

/// The fault tells an operator why a response was rejected.
void the_fault_is_reported()
{
    struct example {
        std::string bytes;
        response_fault fault;
    };
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string interim;
    for (int number = 0; number < 20; ++number) {
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const std::vector<example> examples{
        {"garbage\r\n\r\n", response_fault::malformed},
        {"HTTP/1.1 200 OK\r\nX-Long: " + std::string(70'000, 'x'),
         response_fault::head_too_large},
        {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
         response_fault::body_too_large},
        {chunked + "5;" + std::string(70'000, 'x'),
         response_fault::framing_too_large},
        {interim, response_fault::too_many_skipped},
    };
    for (const auto& each : examples) {
        response_reader reader({.request_id_field = "X-Id"});
        reader.start("r", false);
        cr_assert(reader.read(each.bytes) ==
                  response_reader::progress::rejected);
        cr_assert(reader.fault() == each.fault, "%s",
                  std::string(upstreams::to_string(reader.fault())).c_str());
    }
}

/// Passes the bytes on in pieces of `size`. Returns the progress at the end.
response_reader::progress read_in_pieces(response_reader& reader,
                                         std::string_view bytes,
                                         std::size_t size)
{
    auto progress = response_reader::progress::incomplete;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
        progress = reader.read(bytes.substr(at, size));
    }
    return progress;
}

/// However the bytes are cut, the same response is read.
void a_response_is_read_in_any_pieces()
{
    const std::string bytes =
        "HTTP/1.1 103 Early Hints\r\nX-Id: r\r\n\r\n" +
        upstreams::make_reply("earlier", "stray") +
        "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        response_reader reader({.request_id_field = "X-Id"});
        reader.start("r", false);
        const auto progress = read_in_pieces(reader, bytes, size);
        cr_assert(progress == response_reader::progress::complete, "%zu", size);
        cr_assert(!reader.has_excess());
        cr_assert_eq(reader.take_response().body(), "abcde");
    }
}

/// What an upstream says of itself counts in every answer: interim ones, late
/// duplicates, and heads whose body never arrives.
void every_head_is_reported_once_and_at_once()
{
    std::vector<unsigned> heads;
    response_reader reader(
        {.request_id_field = "X-Id",
         .on_head = [&](const transport::http_response& head) {
             heads.push_back(head.result_int());
         }});
    reader.start("r", false);
    reader.read("HTTP/1.1 103 Early Hints\r\n\r\n"
                "HTTP/1.1 500 Late\r\nX-Id: earlier\r\n"
                "Content-Length: 1\r\n\r\nx"
                "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 9\r\n");
    cr_assert(heads == (std::vector<unsigned>{103, 500}));
    cr_assert(reader.read("\r\nonly") == response_reader::progress::incomplete);
    cr_assert(heads == (std::vector<unsigned>{103, 500, 200}));
    cr_assert(reader.read_end() == response_reader::progress::rejected);
    cr_assert_eq(heads.size(), 3U);
}

/// Blanks around a value and empty values are valid, and a reason may be empty,
/// however the bytes are cut.
void unusual_heads_are_read()
{
    const std::string bytes = "HTTP/1.1 599 \r\nX-Id:r\r\nX-Empty:\r\n"
                              "X-Blanks: \t \r\nX-Inner:\t a \t b \r\n"
                              "X-Bytes: \xff\x80\r\n"
                              "Content-Length: 1\r\n\r\nb";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        response_reader reader({.request_id_field = "X-Id"});
        reader.start("r", false);
        const auto progress = read_in_pieces(reader, bytes, size);
        cr_assert(progress == response_reader::progress::complete, "%zu", size);
        const auto response = reader.take_response();
        cr_assert_eq(response.result_int(), 599U);
        cr_assert_eq(std::string(response["X-Empty"]), "");
        cr_assert_eq(std::string(response["X-Blanks"]), "");
        cr_assert_eq(std::string(response["X-Inner"]), "a \t b");
        cr_assert_eq(std::string(response["X-Bytes"]), "\xff\x80");
    }
}

} // namespace

Test(response_reader, unusual_heads)
{
    unusual_heads_are_read();
}
Test(response_reader, heads)
{
    every_head_is_reported_once_and_at_once();
}
Test(response_budget, small)
{
    small_responses_need_no_reservation();
}
Test(response_budget, given_back)
{
    a_reservation_is_given_back();
}
Test(response_budget, share)
{
    one_service_gets_at_most_half();
}
Test(response_budget, endless_bodies)
{
    many_endless_bodies_stay_within_the_budget();
}
Test(response_reader, faults)
{
    the_fault_is_reported();
}
Test(response_reader, pieces)
{
    a_response_is_read_in_any_pieces();
}
