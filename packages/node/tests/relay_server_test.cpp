#include "../../upstreams/tests/pool_fixture.hpp"
#include <tamarackhoist/node/relay_server.hpp>
#include <tamarackhoist/policy/domain_reach.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using upstreams::scripted_upstream;

namespace
{

constexpr std::size_t max_bytes = 10'000;

/// A relay whose upstream never answers.
class relay_fixture : public upstreams::pool_fixture
{
public:
    relay_fixture()
        : pool_fixture([](const std::string&, int) {
              return scripted_upstream::reply{};
          }),
          server(std::make_shared<node::forwarding>(
                     node::forwarding{context,
                                      runtime::clock::boot(),
                                      {.request_id = "X-Id"},
                                      1ms,
                                      context_,
                                      directory_,
                                      reach_,
                                      metrics_,
                                      [this](const std::string&) {
                                          return pool;
                                      }}),
                 max_bytes)
    {
    }

    /// Relays a request for one shard, with the given number of the call.
    void relay(std::uint64_t number, std::size_t body_bytes)
    {
        auto channel = peers::http2_channel::create_server(
            boost::asio::ip::tcp::socket(context), {});
        peers::relay_request request;
        request.sender = 1;
        request.call = number;
        request.request_id = "r";
        request.head = "POST / HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n";
        request.body.assign(body_bytes, 'a');
        request.remaining = 300ms;
        request.top_records = 1;
        request.targets.push_back({0, "upstream"});
        server.handle_call(std::make_shared<peers::incoming_call>(
            std::move(channel), 1, peers::call_path::relay,
            peers::encode_relay_request(request)));
    }

private:
    policy::forward_context context_{"domain", {}, 1, runtime::time_point()};
    policy::upstream_directory directory_{{}};
    policy::domain_reach reach_{"domain"};
    operators::metrics metrics_;

public:
    node::relay_server server;
};

void calls_beyond_the_memory_limit_are_not_sent()
{
    relay_fixture fixture;
    fixture.relay(1, max_bytes / 4);
    fixture.relay(2, max_bytes);
    cr_assert_eq(fixture.server.open_call_count(), 1U);
    fixture.relay(3, 0);
    cr_assert_eq(fixture.server.open_call_count(), 2U);
}

void a_call_that_is_alone_is_handled_whatever_its_size()
{
    relay_fixture fixture;
    fixture.relay(1, 2 * max_bytes);
    cr_assert_eq(fixture.server.open_call_count(), 1U);
}

void an_ended_call_makes_room()
{
    relay_fixture fixture;
    fixture.relay(1, max_bytes);
    fixture.context.run_for(400ms);
    cr_assert_eq(fixture.server.open_call_count(), 0U);
    fixture.relay(2, max_bytes);
    cr_assert_eq(fixture.server.open_call_count(), 1U);
}

} // namespace

Test(relay_server, memory_limit)
{
    calls_beyond_the_memory_limit_are_not_sent();
}

Test(relay_server, alone)
{
    a_call_that_is_alone_is_handled_whatever_its_size();
}

Test(relay_server, ended_call)
{
    an_ended_call_makes_room();
}
