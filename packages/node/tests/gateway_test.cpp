#include "gateway_fixture.hpp"
#include <algorithm>
#include <set>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using node::gateway_fixture;
using node::received_request;

namespace
{

transport::http_response make_answer(const std::string& digest,
                                     const std::string& body)
{
    auto response =
        transport::make_response(http::status::ok, body, "text/plain");
    response.set("X-Digest", digest);
    return response;
}

transport::http_response make_shard_answer(const received_request& request)
{
    // Every upstream holds two records, which begin with its service's name.
    const auto shard = request.upstream.substr(0, 2);
    return make_answer("d-" + request.upstream, shard + std::string(14, 'a') +
                                                    shard +
                                                    std::string(14, 'b'));
}

policy::route make_fan_out_route()
{
    auto route =
        node::make_route("history", "/q/", policy::repeatability::idempotent);
    route.shards = {"s0", "s1", "s2", "s3"};
    route.top_records = 3;
    route.min_coverage = 0.75;
    return route;
}

policy::route make_order_route()
{
    auto route =
        node::make_route("order", "/o/", policy::repeatability::at_most_once);
    route.services = {{"orders", 1.0}};
    return route;
}

void add_shards(gateway_fixture& fixture)
{
    for (const auto* domain : {"a", "b"}) {
        for (const auto* service : {"s0", "s1", "s2", "s3"}) {
            fixture.add_upstream(std::string(service) + domain, service, domain,
                                 make_shard_answer);
        }
    }
    fixture.set_routes(1, {make_fan_out_route(), make_order_route()});
}

std::string expected_records()
{
    return "s3" + std::string(14, 'b') + "s3" + std::string(14, 'a') + "s2" +
           std::string(14, 'b');
}

std::size_t count_digests(const transport::http_response& response)
{
    const auto text = std::string(response["X-Digests"]);
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), ',')) +
           1;
}

void fan_out_answers_are_merged()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response = fixture.send_request(gateway, "/q/x?y=1", "r1");
    cr_assert(response.has_value());
    cr_assert_eq(response->result_int(), 200U);
    cr_assert_eq(response->body(), expected_records());
    cr_assert_eq(std::string((*response)["X-Missing"]), "0");
    cr_assert_eq(count_digests(*response), 4U);
    for (const auto& each : fixture.received_requests()) {
        cr_assert_eq(each.target, "/q/x?y=1");
        cr_assert_eq(each.request_id, "r1");
        cr_assert_eq(each.expected_upstream, each.upstream);
    }
}

/// A node in a failure domain without upstreams sends a fan-out through nodes
/// in the upstreams' domains, and the merged records are the same.
void a_fan_out_to_another_domain_uses_a_relay()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto near = fixture.start_gateway("near", "a");
    const auto far = fixture.start_gateway("far", "c");
    cr_assert(fixture.wait_until(
        [&] { return fixture.is_ready(near) && fixture.is_ready(far); }));
    // Answers must be complete while the members discover each other by
    // gossip, too.
    for (int round = 0; round < 50; ++round) {
        const auto response =
            fixture.send_request(far, "/q/x", "r" + std::to_string(round));
        cr_assert(response.has_value());
        cr_assert_eq(response->body(), expected_records());
        cr_assert_eq(count_digests(*response), 4U);
        std::this_thread::sleep_for(20ms);
    }
}

void a_failing_shard_is_counted_as_missing()
{
    gateway_fixture fixture;
    for (const auto* service : {"s0", "s1", "s2"}) {
        fixture.add_upstream(std::string(service) + "a", service, "a",
                             make_shard_answer);
    }
    fixture.add_upstream("s3a", "s3", "a", [](const received_request&) {
        return transport::make_response(http::status::internal_server_error, {},
                                        "text/plain");
    });
    fixture.set_routes(1, {make_fan_out_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response = fixture.send_request(gateway, "/q/x");
    cr_assert(response.has_value());
    cr_assert_eq(response->result_int(), 200U);
    cr_assert_eq(std::string((*response)["X-Missing"]), "1");
    cr_assert_eq(count_digests(*response), 3U);
}

void an_order_is_forwarded_once_and_unchanged()
{
    gateway_fixture fixture;
    fixture.add_upstream(
        "o1", "orders", "a", [](const received_request& received) {
            return make_answer("d", "ordered " + received.body);
        });
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response =
        fixture.send_request(gateway, "/o/1", "r", "two cakes");
    cr_assert(response.has_value());
    cr_assert_eq(response->body(), "ordered two cakes");
    cr_assert_eq(std::string((*response)["X-Digest"]), "d");
    cr_assert_eq(fixture.received_requests().size(), 1U);
}

void a_failed_order_is_answered_and_not_retried()
{
    gateway_fixture fixture;
    for (const auto* id : {"o1", "o2"}) {
        fixture.add_upstream(id, "orders", "a", [](const received_request&) {
            auto response = transport::make_response(
                http::status::internal_server_error, "broken", "text/plain");
            response.set("X-Digest", "d");
            return response;
        });
    }
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response = fixture.send_request(gateway, "/o/1", "r", "cake");
    cr_assert(response.has_value());
    cr_assert_eq(response->result_int(), 500U);
    cr_assert_eq(response->body(), "broken");
    cr_assert_eq(fixture.received_requests().size(), 1U);
}

void refused_orders_are_answered_as_not_executed()
{
    gateway_fixture fixture;
    for (const auto* id : {"o1", "o2"}) {
        fixture.add_upstream(id, "orders", "a", [](const received_request&) {
            auto response = transport::make_response(
                http::status::service_unavailable, {}, "text/plain");
            response.set("X-Not-Run", "1");
            return response;
        });
    }
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response = fixture.send_request(gateway, "/o/1", "r", "cake");
    cr_assert(response.has_value());
    cr_assert_eq(response->result_int(), 503U);
    cr_assert(response->find(http::field::retry_after) != response->end());
}

void an_unknown_route_is_answered_with_not_found()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto response = fixture.send_request(gateway, "/nowhere/");
    cr_assert(response.has_value());
    cr_assert_eq(response->result_int(), 404U);
}

/// Without a configuration, a node cannot answer that a route does not exist.
void a_node_without_configuration_refuses_requests()
{
    gateway_fixture fixture;
    fixture.store.set_available(false);
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until(
        [&] { return fixture.send_request(gateway, "/q/x").has_value(); }));
    const auto response = fixture.send_request(gateway, "/q/x");
    cr_assert_eq(response->result_int(), 503U);
    cr_assert(!response->keep_alive(), "another node may have a configuration");
    cr_assert(!fixture.is_ready(gateway));
}

void a_new_version_takes_effect_without_a_restart()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    auto moved = make_fan_out_route();
    moved.prefix = "/moved/";
    fixture.set_routes(2, {moved});
    cr_assert(fixture.wait_until([&] {
        const auto response = fixture.send_request(gateway, "/moved/x");
        return response && response->result_int() == 200;
    }));
    cr_assert_eq(fixture.send_request(gateway, "/q/x")->result_int(), 404U);
    // A write of an older version has no effect.
    fixture.set_routes(1, {make_fan_out_route()});
    std::this_thread::sleep_for(300ms);
    cr_assert_eq(fixture.send_request(gateway, "/moved/x")->result_int(), 200U);
}

/// Guards against a node that cannot serve after it was replaced while the
/// store is down: it pulls the configuration from its peers.
void a_started_node_pulls_from_its_peers_while_the_store_is_down()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto first = fixture.start_gateway("first", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(first); }));
    fixture.store.set_available(false);
    const auto second = fixture.start_gateway("second", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(second); }));
    const auto other_domain = fixture.start_gateway("third", "b");
    cr_assert(
        fixture.wait_until([&] { return fixture.is_ready(other_domain); }));
    cr_assert_eq(fixture.send_request(second, "/q/x")->result_int(), 200U);
}

/// Returns which of two gateways reads the store for their failure domain, once
/// only one of them does.
std::size_t find_store_reader(const gateway_fixture& fixture)
{
    std::this_thread::sleep_for(2500ms);
    const auto before = fixture.store.call_count(0);
    std::this_thread::sleep_for(2500ms);
    return fixture.store.call_count(0) > before ? 0 : 1;
}

/// Guards against drained upstreams and withdrawn routes that stay in use: the
/// node that reads the store for its failure domain is cut off from it right
/// after an answer, and the others believe for too long that nothing changes.
void a_change_arrives_in_time_although_the_reader_is_cut_off()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const std::vector<std::size_t> gateways{fixture.start_gateway("n1", "a"),
                                            fixture.start_gateway("n2", "a")};
    cr_assert(fixture.wait_until([&] {
        return fixture.is_ready(gateways[0]) && fixture.is_ready(gateways[1]);
    }));
    const auto reader = find_store_reader(fixture);
    const auto calls = fixture.store.call_count(reader);
    cr_assert(fixture.wait_until(
        [&] { return fixture.store.call_count(reader) > calls; }));
    fixture.store.cut_off(reader);
    auto moved = make_fan_out_route();
    moved.prefix = "/moved/";
    fixture.set_routes(2, {moved});
    const auto changed_at = std::chrono::steady_clock::now();
    cr_assert(fixture.wait_until([&] {
        const auto response =
            fixture.send_request(gateways[1 - reader], "/moved/x");
        return response && response->result_int() == 200;
    }));
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - changed_at);
    constexpr auto deadline = 3000ms;
    cr_assert(delay < deadline, "after %lld ms",
              static_cast<long long>(delay.count()));
}

/// One node of each failure domain calls the store and pushes changes to the
/// others.
void one_node_of_a_domain_calls_the_store()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto first = fixture.start_gateway("first", "a");
    const auto second = fixture.start_gateway("second", "a");
    cr_assert(fixture.wait_until(
        [&] { return fixture.is_ready(first) && fixture.is_ready(second); }));
    const auto reader = find_store_reader(fixture);
    const auto before = fixture.store.call_count();
    const auto reader_before = fixture.store.call_count(reader);
    std::this_thread::sleep_for(2600ms);
    const auto calls = fixture.store.call_count() - before;
    cr_assert(calls <= 3, "%d calls", calls);
    cr_assert_eq(fixture.store.call_count(reader) - reader_before, calls);
    auto moved = make_fan_out_route();
    moved.prefix = "/moved/";
    fixture.set_routes(2, {moved});
    cr_assert(fixture.wait_until([&] {
        return fixture.send_request(first, "/moved/x")->result_int() == 200 &&
               fixture.send_request(second, "/moved/x")->result_int() == 200;
    }));
}

/// A reader that has listed all items again goes on confirming to its peers
/// that nothing has changed, so that they need not read the store as well.
void one_node_calls_the_store_after_its_history_was_dropped()
{
    gateway_fixture fixture;
    add_shards(fixture);
    const auto first = fixture.start_gateway("first", "a");
    const auto second = fixture.start_gateway("second", "a");
    cr_assert(fixture.wait_until(
        [&] { return fixture.is_ready(first) && fixture.is_ready(second); }));
    const auto reader = find_store_reader(fixture);
    const auto other_calls = fixture.store.call_count(1 - reader);
    fixture.store.drop_history();
    std::this_thread::sleep_for(4s);
    cr_assert_eq(fixture.store.call_count(1 - reader), other_calls);
}

void a_node_that_shuts_down_answers_pending_requests()
{
    gateway_fixture fixture;
    fixture.add_upstream(
        "o1", "orders", "a", [](const received_request& received) {
            std::this_thread::sleep_for(300ms);
            return make_answer("d", "ordered " + received.body);
        });
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    std::jthread leaving([&] {
        std::this_thread::sleep_for(100ms);
        fixture.gateway_at(gateway).shut_down();
    });
    const auto response = fixture.send_request(gateway, "/o/1", "r", "cake");
    cr_assert(response.has_value());
    cr_assert_eq(response->body(), "ordered cake");
    cr_assert(!fixture.is_ready(gateway));
    cr_assert_eq(fixture.send_request(gateway, "/o/2", "s", "pie")->body(),
                 "ordered pie", "the load balancer may still send requests");
}

/// Guards against a stop that closes the connections of requests that still
/// wait for an upstream. Those are answered as not executed, and never sent.
void requests_that_wait_for_an_upstream_are_answered_at_a_stop()
{
    gateway_fixture fixture;
    fixture.add_upstream(
        "o1", "orders", "a", [](const received_request& received) {
            std::this_thread::sleep_for(300ms);
            return make_answer("d", "ordered " + received.body);
        });
    auto route = make_order_route();
    route.timeout = 8000ms;
    fixture.set_routes(1, {route});
    const auto gateway = fixture.start_gateway("n", "a", 1500ms);
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    constexpr std::size_t requests = 12;
    std::vector<std::optional<transport::http_response>> responses(requests);
    {
        std::vector<std::jthread> callers;
        for (std::size_t index = 0; index < requests; ++index) {
            callers.emplace_back([&, index] {
                responses[index] = fixture.send_request(
                    gateway, "/o/1", "r" + std::to_string(index), "cake");
            });
        }
        std::this_thread::sleep_for(100ms);
        fixture.gateway_at(gateway).shut_down();
    }
    std::set<std::string> sent;
    for (const auto& each : fixture.received_requests()) {
        sent.insert(each.request_id);
    }
    std::size_t not_executed = 0;
    for (std::size_t index = 0; index < requests; ++index) {
        const auto& response = responses[index];
        cr_assert(response.has_value(), "request %zu has no answer", index);
        if (response->result_int() != 503U) {
            continue;
        }
        ++not_executed;
        cr_assert(response->find(http::field::retry_after) != response->end());
        cr_assert(!response->keep_alive());
        cr_assert(!sent.contains("r" + std::to_string(index)));
    }
    cr_assert(not_executed > 0);
}

/// Guards against requests that were queued for an upstream before it drained
/// and are sent to it seconds later, when it may be about to leave.
void requests_queued_for_a_draining_upstream_are_not_sent_to_it()
{
    gateway_fixture fixture;
    fixture.add_upstream(
        "o1", "orders", "a", [](const received_request& received) {
            std::this_thread::sleep_for(300ms);
            return make_answer("d", "ordered " + received.body);
        });
    auto route = make_order_route();
    route.timeout = 8000ms;
    fixture.set_routes(1, {route});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    constexpr std::size_t requests = 12;
    constexpr std::size_t connections = 5;
    std::vector<std::optional<transport::http_response>> responses(requests);
    {
        std::vector<std::jthread> callers;
        for (std::size_t index = 0; index < requests; ++index) {
            callers.emplace_back([&, index] {
                responses[index] = fixture.send_request(
                    gateway, "/o/1", "r" + std::to_string(index), "cake");
            });
        }
        std::this_thread::sleep_for(100ms);
        fixture.set_draining("o1");
    }
    cr_assert_eq(fixture.received_requests().size(), connections);
    const auto rejected = std::count_if(
        responses.begin(), responses.end(), [](const auto& response) {
            return response && response->result_int() == 503U;
        });
    cr_assert_eq(static_cast<std::size_t>(rejected), requests - connections);
}

/// A refusal that asks for a pause of 1.5 s.
transport::http_response make_pausing_refusal(const received_request&)
{
    auto response = transport::make_response(http::status::service_unavailable,
                                             {}, "text/plain");
    response.set("X-Not-Run", "1");
    response.set(http::field::retry_after, "1.5");
    return response;
}

/// An only upstream asks for a pause. Requests are rejected at once meanwhile,
/// with the time until it returns, and the return begins with single requests.
void an_upstream_that_asks_for_a_pause_gets_no_requests()
{
    gateway_fixture fixture;
    fixture.add_upstream("o1", "orders", "a", make_pausing_refusal);
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    const auto started = std::chrono::steady_clock::now();
    int number = 0;
    while (std::chrono::steady_clock::now() - started < 1400ms) {
        const auto response = fixture.send_request(
            gateway, "/o/1", "r" + std::to_string(number++), "cake");
        cr_assert(response.has_value());
        cr_assert_eq(response->result_int(), 503U);
        const auto elapsed = std::chrono::duration<double>(
            std::chrono::steady_clock::now() - started);
        const auto retry_after =
            std::stod(std::string((*response)[http::field::retry_after]));
        cr_assert(retry_after >= 1.5 - elapsed.count(), "%f", retry_after);
        std::this_thread::sleep_for(10ms);
    }
    cr_assert_eq(fixture.received_requests().size(), 1U);
    while (std::chrono::steady_clock::now() - started < 2000ms) {
        static_cast<void>(fixture.send_request(
            gateway, "/o/1", "r" + std::to_string(number++), "cake"));
        std::this_thread::sleep_for(10ms);
    }
    cr_assert_eq(fixture.received_requests().size(), 2U);
}

transport::http_response make_leaving_answer(const received_request& received)
{
    auto response = make_answer("d", "ordered " + received.body);
    response.set("X-Leaving", "1");
    return response;
}

/// An upstream that leaves says so in its answers. Its registration still says
/// that it is ready, and the store does not answer any more.
void an_upstream_that_says_it_leaves_gets_no_more_requests()
{
    gateway_fixture fixture;
    fixture.add_upstream("o1", "orders", "a", make_leaving_answer);
    fixture.add_upstream(
        "o2", "orders", "b", [](const received_request& received) {
            return make_answer("d", "ordered " + received.body);
        });
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    fixture.store.set_available(false);
    for (int number = 0; number < 20; ++number) {
        const auto response = fixture.send_request(
            gateway, "/o/1", "r" + std::to_string(number), "cake");
        cr_assert(response.has_value());
        cr_assert_eq(response->result_int(), 200U);
    }
    const auto received = fixture.received_requests();
    const auto at_leaving = std::count_if(
        received.begin(), received.end(),
        [](const received_request& each) { return each.upstream == "o1"; });
    cr_assert_eq(at_leaving, 1);
}

/// Without another upstream, requests are rejected at once and truthfully. A
/// new incarnation takes requests again.
void requests_are_rejected_while_the_only_upstream_leaves()
{
    gateway_fixture fixture;
    fixture.add_upstream("o1", "orders", "a", make_leaving_answer);
    fixture.set_routes(1, {make_order_route()});
    const auto gateway = fixture.start_gateway("n", "a");
    cr_assert(fixture.wait_until([&] { return fixture.is_ready(gateway); }));
    cr_assert_eq(
        fixture.send_request(gateway, "/o/1", "r1", "cake")->result_int(),
        200U);
    const auto rejection = fixture.send_request(gateway, "/o/1", "r2", "cake");
    cr_assert(rejection.has_value());
    cr_assert_eq(rejection->result_int(), 503U);
    cr_assert(rejection->find(http::field::retry_after) != rejection->end());
    cr_assert_eq(fixture.received_requests().size(), 1U);
    fixture.restart_upstream("o1");
    cr_assert(fixture.wait_until([&] {
        const auto response =
            fixture.send_request(gateway, "/o/1", "r3", "cake");
        return response && response->result_int() == 200U;
    }));
}

/// A fan-out reaches the upstreams of another domain through a relay. The relay
/// sends nothing more to an upstream that leaves.
void a_relay_sends_nothing_to_an_upstream_that_says_it_leaves()
{
    gateway_fixture fixture;
    for (const auto* service : {"s0", "s1", "s2", "s3"}) {
        fixture.add_upstream(std::string(service) + "a", service, "a",
                             [](const received_request& received) {
                                 auto response = make_shard_answer(received);
                                 if (received.upstream == "s0a") {
                                     response.set("X-Leaving", "1");
                                 }
                                 return response;
                             });
    }
    fixture.set_routes(1, {make_fan_out_route()});
    const auto near = fixture.start_gateway("near", "a");
    const auto far = fixture.start_gateway("far", "c");
    cr_assert(fixture.wait_until(
        [&] { return fixture.is_ready(near) && fixture.is_ready(far); }));
    const auto send_through_relay = [&](int number) {
        const auto response =
            fixture.send_request(far, "/q/x", "r" + std::to_string(number));
        cr_assert(response.has_value());
        return response;
    };
    // At first the far node may send directly, before it knows the near one.
    std::this_thread::sleep_for(1s);
    for (int number = 0; number < 10; ++number) {
        const auto response = send_through_relay(number);
        cr_assert_eq(response->result_int(), 200U);
        cr_assert_eq(std::string((*response)["X-Missing"]),
                     number == 0 ? "0" : "1", "request %d", number);
    }
    const auto received = fixture.received_requests();
    const auto at_leaving = std::count_if(
        received.begin(), received.end(),
        [](const received_request& each) { return each.upstream == "s0a"; });
    cr_assert_eq(at_leaving, 1);
}

/// The error of a gateway that cannot listen names the address.
void an_error_names_the_address_in_use()
{
    gateway_fixture fixture;
    const auto endpoints = gateway_fixture::free_endpoints();
    node::gateway_settings settings;
    settings.name = "n";
    settings.failure_domain = "a";
    settings.callers = endpoints[0];
    settings.readiness = endpoints[0];
    settings.metrics = endpoints[1];
    settings.peers = endpoints[2];
    const auto created = node::gateway::create(
        settings, runtime::clock::boot(),
        {.fields = {},
         .make_store =
             [&](boost::asio::io_context& context, const transport::endpoint&) {
                 return fixture.store.make_calls(context);
             },
         .decode =
             [](const policy::store_item&) {
                 return std::nullopt;
             }});
    cr_assert(!created.has_value());
    cr_assert(created.error().find(endpoints[0].to_text()) != std::string::npos,
              "%s", created.error().c_str());
}

/// Guards against choosing the same port twice for a gateway, which then cannot
/// listen. This happened in one of 625 choices and ended the test with a
/// signal.
void the_endpoints_of_a_gateway_are_distinct()
{
    constexpr int rounds = 5000;
    for (int round = 0; round < rounds; ++round) {
        std::set<std::uint16_t> ports;
        for (const auto& each : gateway_fixture::free_endpoints()) {
            ports.insert(each.port);
        }
        cr_assert_eq(ports.size(), 4U, "round %d", round);
    }
}

} // namespace

Test(gateway, address_in_use)
{
    an_error_names_the_address_in_use();
}
Test(gateway, distinct_endpoints)
{
    the_endpoints_of_a_gateway_are_distinct();
}
Test(gateway, fan_out)
{
    fan_out_answers_are_merged();
}
Test(gateway, relay)
{
    a_fan_out_to_another_domain_uses_a_relay();
}
Test(gateway, failing_shard)
{
    a_failing_shard_is_counted_as_missing();
}
Test(gateway, order)
{
    an_order_is_forwarded_once_and_unchanged();
}
Test(gateway, failed_order)
{
    a_failed_order_is_answered_and_not_retried();
}
Test(gateway, refused_order)
{
    refused_orders_are_answered_as_not_executed();
}
Test(gateway, unknown_route)
{
    an_unknown_route_is_answered_with_not_found();
}
Test(gateway, no_configuration)
{
    a_node_without_configuration_refuses_requests();
}
Test(gateway, new_version)
{
    a_new_version_takes_effect_without_a_restart();
}
Test(gateway, pull_from_peers)
{
    a_started_node_pulls_from_its_peers_while_the_store_is_down();
}
Test(gateway, cut_off_reader)
{
    a_change_arrives_in_time_although_the_reader_is_cut_off();
}
Test(gateway, store_calls)
{
    one_node_of_a_domain_calls_the_store();
}
Test(gateway, queued_at_drain)
{
    requests_queued_for_a_draining_upstream_are_not_sent_to_it();
}
Test(gateway, pause)
{
    an_upstream_that_asks_for_a_pause_gets_no_requests();
}
Test(gateway, leaving)
{
    an_upstream_that_says_it_leaves_gets_no_more_requests();
}
Test(gateway, only_upstream_leaving)
{
    requests_are_rejected_while_the_only_upstream_leaves();
}
Test(gateway, leaving_behind_relay)
{
    a_relay_sends_nothing_to_an_upstream_that_says_it_leaves();
}
Test(gateway, queued_at_shutdown)
{
    requests_that_wait_for_an_upstream_are_answered_at_a_stop();
}
Test(gateway, store_calls_after_lost_history)
{
    one_node_calls_the_store_after_its_history_was_dropped();
}
Test(gateway, shutdown)
{
    a_node_that_shuts_down_answers_pending_requests();
}
