#include "../../transport/tests/broken_responses.hpp"
#include "gateway_fixture.hpp"
#include <atomic>

#include <criterion/criterion.h>

/// Upstreams whose answers are not valid HTTP: callers must not get them.

using namespace tamarackhoist;
using namespace std::chrono_literals;
using node::gateway_fixture;
using upstreams::scripted_upstream;

namespace
{

/// Answers each request with a response that `make` builds from the fields
/// that every answer of an upstream holds.
scripted_upstream::script
make_script(std::function<std::string(const std::string& fields)> make)
{
    return [make = std::move(make)](const std::string& header, int) {
        return scripted_upstream::reply{
            make("X-Id: " + upstreams::parse_request_id(header) +
                 "\r\nX-Digest: d\r\n"),
            true};
    };
}

std::string make_valid_response(const std::string& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nvalid";
}

/// Returns a route to `service`, whose prefix bears its name.
policy::route make_route(const std::string& service,
                         policy::repeatability repeat)
{
    auto route = node::make_route(service, "/" + service + "/", repeat);
    route.services = {{service, 1.0}};
    return route;
}

using response_list = std::vector<std::string> (*)(const std::string& fields);

/// The answer of the gateway itself when it has no other upstream to ask.
bool is_own_answer(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 502 Bad Gateway\r\n") &&
           answer.ends_with("\r\n\r\n");
}

/// Each response comes from an upstream of its own, once for a request that
/// may be repeated and once for one that may not. Expects that the caller gets
/// an answer of the gateway's own.
void expect_not_passed_on(response_list make_responses)
{
    gateway_fixture fixture;
    std::vector<policy::route> routes;
    const auto count = make_responses("").size();
    for (std::size_t index = 0; index < count; ++index) {
        for (const auto repeat : {policy::repeatability::idempotent,
                                  policy::repeatability::at_most_once}) {
            const auto service = "s" + std::to_string(routes.size());
            fixture.add_scripted_upstream(
                service, service, "a",
                make_script([make_responses, index](const std::string& fields) {
                    return make_responses(fields)[index];
                }));
            routes.push_back(make_route(service, repeat));
        }
    }
    fixture.set_routes(1, routes);
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    for (const auto& route : routes) {
        const auto answer =
            fixture.send_raw_request(gateway, route.prefix, route.name);
        cr_expect(is_own_answer(answer), "%s", answer.c_str());
    }
}

/// The upstream that is tried first sends broken responses. Expects that
/// callers get the answer of the other one. A node that has just started may
/// not send extra attempts yet, so a few get an answer of the gateway's own.
void expect_answer_of_other_upstream(response_list make_responses)
{
    constexpr int requests = 30;
    constexpr int min_valid_answers = 25;
    std::atomic<int> broken_responses = 0;
    gateway_fixture fixture;
    fixture.add_scripted_upstream(
        "broken", "s", "a",
        make_script([&, make_responses](const std::string& fields) {
            ++broken_responses;
            return make_responses(fields).front();
        }));
    // An upstream in the domain of the gateway is tried first.
    fixture.add_scripted_upstream("sound", "s", "b",
                                  make_script(make_valid_response));
    fixture.set_routes(1, {make_route("s", policy::repeatability::idempotent)});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    int valid_answers = 0;
    for (int number = 0; number < requests; ++number) {
        const auto answer = fixture.send_raw_request(
            gateway, "/s/", "r" + std::to_string(number));
        const bool is_valid = answer.starts_with("HTTP/1.1 200 OK\r\n") &&
                              answer.ends_with("\r\n\r\nvalid");
        valid_answers += is_valid ? 1 : 0;
        cr_expect(is_valid || is_own_answer(answer), "%s", answer.c_str());
    }
    cr_expect_geq(valid_answers, min_valid_answers);
    cr_expect_gt(broken_responses.load(), 0);
}

void invalid_statuses_are_not_passed_on()
{
    expect_not_passed_on(transport::make_invalid_statuses);
    expect_answer_of_other_upstream(transport::make_invalid_statuses);
}

void invalid_field_names_are_not_passed_on()
{
    expect_not_passed_on(transport::make_invalid_field_names);
    expect_answer_of_other_upstream(transport::make_invalid_field_names);
}

void folded_heads_are_not_passed_on()
{
    expect_not_passed_on(transport::make_folded_heads);
    expect_answer_of_other_upstream(transport::make_folded_heads);
}

void unsupported_codings_are_not_passed_on()
{
    expect_not_passed_on(transport::make_unsupported_codings);
    expect_answer_of_other_upstream(transport::make_unsupported_codings);
}

void invalid_chunks_are_not_passed_on()
{
    expect_not_passed_on(transport::make_invalid_chunks);
}

void invalid_trailers_are_not_passed_on()
{
    expect_not_passed_on(transport::make_invalid_trailers);
}

/// The digest covers the response only if its head holds it.
void a_digest_in_a_trailer_does_not_count()
{
    expect_not_passed_on([](const std::string& fields) {
        const auto id_line = fields.substr(0, fields.find("X-Digest"));
        return std::vector<std::string>{
            transport::make_response_with_trailer(id_line, "X-Digest: d\r\n")};
    });
}

/// A trailer arrives after the body, so the request has run: a refusal in it
/// must not make the gateway send an order again.
void a_refusal_in_a_trailer_does_not_count()
{
    std::atomic<int> orders = 0;
    gateway_fixture fixture;
    for (const std::string id : {"u0", "u1"}) {
        fixture.add_scripted_upstream(
            id, "s", "a", make_script([&](const std::string& fields) {
                ++orders;
                return transport::make_response_with_trailer(
                    fields, "X-Not-Run: 1\r\n");
            }));
    }
    fixture.set_routes(1,
                       {make_route("s", policy::repeatability::at_most_once)});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto answer = fixture.send_raw_request(gateway, "/s/");
    cr_expect(answer.starts_with("HTTP/1.1 200 OK\r\n"), "%s", answer.c_str());
    cr_expect_eq(answer.find("X-Not-Run"), std::string::npos);
    cr_expect_eq(orders.load(), 1);
}

/// Callers get the digests of a fan-out as a list, separated by commas. One
/// that holds a comma would add an entry and spoil the whole answer.
void a_part_whose_digest_is_a_list_is_missing()
{
    gateway_fixture fixture;
    auto route =
        node::make_route("q", "/q/", policy::repeatability::idempotent);
    route.shards = {"s0", "s1", "s2"};
    route.top_records = 1;
    route.min_coverage = 0.5;
    const std::vector<std::string> digests{"d0", "d1", "d2, d3"};
    for (std::size_t shard = 0; shard < route.shards.size(); ++shard) {
        const auto& service = route.shards[shard];
        fixture.add_scripted_upstream(
            service, service, "a",
            [digest = digests[shard]](const std::string& header, int) {
                return scripted_upstream::reply{
                    "HTTP/1.1 200 OK\r\nX-Id: " +
                    upstreams::parse_request_id(header) +
                    "\r\nX-Digest: " + digest + "\r\n" + transport::sized_body};
            });
    }
    fixture.set_routes(1, {route});
    const auto near = fixture.start_gateway("near", "a");
    const auto far = fixture.start_gateway("far", "b");
    cr_assert(fixture.wait_until(
        [&] { return fixture.is_ready(near) && fixture.is_ready(far); }));
    // The node in another failure domain asks through the one beside the
    // upstreams once it has discovered it.
    for (int number = 0; number < 20; ++number) {
        for (const auto gateway : {near, far}) {
            const auto answer = fixture.send_raw_request(
                gateway, "/q/", "r" + std::to_string(number));
            cr_expect(answer.starts_with("HTTP/1.1 200 OK\r\n"), "%s",
                      answer.c_str());
            const bool has_others = answer.find("d0") != std::string::npos &&
                                    answer.find("d1") != std::string::npos;
            cr_expect(has_others, "%s", answer.c_str());
            cr_expect_eq(answer.find("d2"), std::string::npos, "%s",
                         answer.c_str());
            cr_expect_neq(answer.find("X-Missing: 1\r\n"), std::string::npos,
                          "%s", answer.c_str());
        }
        std::this_thread::sleep_for(20ms);
    }
}

} // namespace

Test(broken_answer, status)
{
    invalid_statuses_are_not_passed_on();
}
Test(broken_answer, field_names)
{
    invalid_field_names_are_not_passed_on();
}
Test(broken_answer, folded_heads)
{
    folded_heads_are_not_passed_on();
}
Test(broken_answer, transfer_codings)
{
    unsupported_codings_are_not_passed_on();
}
Test(broken_answer, chunks)
{
    invalid_chunks_are_not_passed_on();
}
Test(broken_answer, trailers)
{
    invalid_trailers_are_not_passed_on();
}
Test(broken_answer, digest_in_trailer)
{
    a_digest_in_a_trailer_does_not_count();
}
Test(broken_answer, refusal_in_trailer)
{
    a_refusal_in_a_trailer_does_not_count();
}
Test(broken_answer, digest_list)
{
    a_part_whose_digest_is_a_list_is_missing();
}
