#include "../../upstreams/tests/pool_fixture.hpp"
#include "../src/relayed_call.hpp"
#include <tamarackhoist/policy/domain_reach.hpp>
#include <tamarackhoist/policy/upstream_directory.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using upstreams::scripted_upstream;

namespace
{

/// A relay with one upstream. The calling node has died: nothing that the
/// relay sends arrives, and no cancellation comes.
class relay_fixture : public upstreams::pool_fixture
{
public:
    explicit relay_fixture(scripted_upstream::script script)
        : pool_fixture(std::move(script)),
          shared_(std::make_shared<node::forwarding>(
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
                               }}))
    {
    }

    /// Relays a request for one shard and processes events for 400 ms.
    void relay(runtime::duration remaining)
    {
        auto channel = peers::http2_channel::create_server(
            boost::asio::ip::tcp::socket(context), {});
        const auto call = std::make_shared<peers::incoming_call>(
            std::move(channel), 1, peers::call_path::relay, std::string());
        peers::relay_request request;
        request.request_id = "r";
        request.head = "GET / HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n";
        request.remaining = remaining;
        request.top_records = 1;
        request.gather = 10ms;
        request.targets.push_back({0, "upstream"});
        std::make_shared<node::relayed_call>(shared_, call, std::move(request),
                                             [this] { is_finished = true; })
            ->start();
        context.run_for(400ms);
    }

    bool is_finished = false;

private:
    policy::forward_context context_{"domain", {}, 1, runtime::time_point()};
    policy::upstream_directory directory_{{}};
    policy::domain_reach reach_{"domain"};
    operators::metrics metrics_;
    std::shared_ptr<node::forwarding> shared_;
};

/// The upstream keeps working, and its connection stays taken, until the relay
/// itself ends the attempt.
void a_silent_upstream_is_given_up_at_the_deadline()
{
    relay_fixture fixture(
        [](const std::string&, int) { return scripted_upstream::reply{}; });
    fixture.relay(100ms);
    cr_assert(fixture.is_finished);
    cr_assert_eq(fixture.upstream.requests(), 1);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

void a_trickling_upstream_is_given_up_at_the_deadline()
{
    relay_fixture fixture([](const std::string&, int) {
        return scripted_upstream::reply{
            "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 1000\r\n\r\nfew"};
    });
    fixture.relay(100ms);
    cr_assert(fixture.is_finished);
    cr_assert_eq(fixture.pool->connection_count(), 0U);
}

} // namespace

Test(relayed_call, silent_upstream)
{
    a_silent_upstream_is_given_up_at_the_deadline();
}
Test(relayed_call, trickling_upstream)
{
    a_trickling_upstream_is_given_up_at_the_deadline();
}
