#include "gateway_fixture.hpp"
#include <optional>
#include <span>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using node::gateway_fixture;
using node::received_request;
using std::chrono::steady_clock;

/// What nodes take for an absence of the store, after which they keep missing
/// registrations for a grace period, and what they do not.
namespace
{

/// Time within which a removed upstream has to be out of use.
constexpr auto drain_delay = 3s;
/// Time that changes take to all nodes while nothing is disturbed.
constexpr auto news_time = 1s;
/// An absence in which all registrations lapse.
constexpr auto store_outage = 4s;
/// Within this time after the return of the store, live upstreams are back.
constexpr auto registration_time = 1800ms;

transport::http_response make_answer(const received_request&)
{
    auto response =
        transport::make_response(http::status::ok, "done", "text/plain");
    response.set("X-Digest", "d");
    return response;
}

/// Gateways of one failure domain that offer the only upstream of a service.
/// The index of a gateway is that of its client of the store.
class store_absence_fixture
{
public:
    explicit store_absence_fixture(std::size_t gateway_count,
                                   runtime::duration deadline = drain_delay)
        : count(gateway_count)
    {
        auto route =
            node::make_route("r", "/r/", policy::repeatability::at_most_once);
        route.services = {{"orders", 1.0}};
        fleet.add_upstream("u", "orders", "a", make_answer);
        fleet.set_routes(1, {route});
        fleet.news_deadline = deadline;
        for (std::size_t index = 0; index < count; ++index) {
            fleet.start_gateway("n" + std::to_string(index), "a");
        }
        cr_assert(fleet.wait_until([&] { return offer_upstream(); }));
        // Until the nodes that started have found their reader.
        std::this_thread::sleep_for(news_time);
    }

    [[nodiscard]] bool offers_upstream(std::size_t gateway)
    {
        const auto response = fleet.send_request(gateway, "/r/x");
        return response && response->result() == http::status::ok;
    }

    /// Whether all gateways offer the upstream.
    [[nodiscard]] bool offer_upstream()
    {
        for (std::size_t index = 0; index < count; ++index) {
            if (!offers_upstream(index)) {
                return false;
            }
        }
        return true;
    }

    /// Returns the gateway that reads the store, right after an answer to it.
    [[nodiscard]] std::size_t find_reader_after_answer()
    {
        std::vector<int> calls;
        for (std::size_t index = 0; index < count; ++index) {
            calls.push_back(fleet.store.call_count(index));
        }
        std::optional<std::size_t> reader;
        cr_assert(fleet.wait_until([&] {
            for (std::size_t index = 0; index < count; ++index) {
                if (fleet.store.call_count(index) > calls[index]) {
                    reader = index;
                }
            }
            return reader.has_value();
        }));
        return *reader;
    }

    /// Returns how long after now each of the gateways but `exempt` still
    /// offers the upstream; `limit` for those that go on.
    [[nodiscard]] std::vector<runtime::duration>
    measure_removal(std::optional<std::size_t> exempt, runtime::duration limit)
    {
        const auto start = steady_clock::now();
        std::vector<runtime::duration> times(count, limit);
        if (exempt) {
            times[*exempt] = 0s;
        }
        while (steady_clock::now() - start < limit) {
            for (std::size_t index = 0; index < count; ++index) {
                if (times[index] == limit && !offers_upstream(index)) {
                    times[index] = steady_clock::now() - start;
                }
            }
            std::this_thread::sleep_for(10ms);
        }
        return times;
    }

    gateway_fixture fleet;
    const std::size_t count;
};

void expect_removal_within(std::span<const runtime::duration> times,
                           runtime::duration limit)
{
    for (std::size_t index = 0; index < times.size(); ++index) {
        cr_assert(times[index] < limit, "gateway %zu: %.0f ms", index,
                  runtime::to_milliseconds(times[index]));
    }
}

/// Guards against an outage that a node takes for one that has just ended, long
/// after it: the node had followed the store, stopped as a peer was the first
/// to read it again, and takes over much later, as that peer is cut off.
void a_node_that_takes_over_forgets_an_earlier_outage()
{
    store_absence_fixture fixture(2);
    auto& store = fixture.fleet.store;
    const auto reader = fixture.find_reader_after_answer();
    const auto other = 1 - reader;
    store.turn_away(reader);
    store.turn_away(other);
    std::this_thread::sleep_for(store_outage);
    store.turn_away(reader, false);
    // The other one waits to try again when the reader has news.
    std::this_thread::sleep_for(2s);
    store.turn_away(other, false);
    std::this_thread::sleep_for(drain_delay);
    cr_assert_eq(fixture.find_reader_after_answer(), reader);
    store.cut_off(reader);
    fixture.fleet.unregister_upstream("u");
    expect_removal_within(fixture.measure_removal(reader, drain_delay),
                          drain_delay);
}

/// Guards against a node that takes its own cut for an outage of the store and
/// tells its peers, which have read the store all the while.
void a_reader_that_returns_gives_its_peers_no_grace()
{
    store_absence_fixture fixture(2);
    auto& store = fixture.fleet.store;
    const auto reader = fixture.find_reader_after_answer();
    store.turn_away(reader);
    std::this_thread::sleep_for(store_outage);
    const auto calls = store.call_count(reader);
    store.turn_away(reader, false);
    cr_assert(fixture.fleet.wait_until(
        [&] { return store.call_count(reader) > calls + 1; }));
    fixture.fleet.unregister_upstream("u");
    expect_removal_within(fixture.measure_removal(std::nullopt, drain_delay),
                          news_time);
}

/// Guards against a hand-over of reading that counts as an absence, where nodes
/// have more time to learn of a change than registrations take to lapse.
void a_hand_over_at_a_long_deadline_gives_no_grace()
{
    constexpr auto long_deadline = 5s;
    store_absence_fixture fixture(3, long_deadline);
    const auto reader = fixture.find_reader_after_answer();
    fixture.fleet.store.cut_off(reader);
    fixture.fleet.unregister_upstream("u");
    expect_removal_within(fixture.measure_removal(reader, long_deadline),
                          long_deadline);
}

/// Guards against a short cut of the reader that counts as an absence of the
/// store, as the reader is the first to read it again.
void a_reader_back_from_a_short_cut_gives_no_grace()
{
    constexpr auto long_deadline = 5s;
    constexpr auto cut = 2500ms;
    store_absence_fixture fixture(2, long_deadline);
    const auto reader = fixture.find_reader_after_answer();
    fixture.fleet.store.cut_off(reader);
    fixture.fleet.unregister_upstream("u");
    std::this_thread::sleep_for(cut);
    fixture.fleet.store.cut_off(reader, false);
    expect_removal_within(fixture.measure_removal(std::nullopt, long_deadline),
                          long_deadline - cut);
}

/// Has the store return from an outage in which the registration of a live
/// upstream has lapsed. All gateways have to offer it until it is back and
/// then.
void expect_live_upstream_in_use(store_absence_fixture& fixture)
{
    fixture.fleet.unregister_upstream("u");
    fixture.fleet.store.set_available(true);
    const auto returned_at = steady_clock::now();
    while (steady_clock::now() - returned_at < registration_time) {
        cr_assert(fixture.offer_upstream());
    }
    fixture.fleet.write_registration("u");
    while (steady_clock::now() - returned_at < drain_delay + news_time) {
        cr_assert(fixture.offer_upstream());
    }
}

/// Live upstreams whose registrations have lapsed in an outage stay in use on
/// every node until they are back.
void live_upstreams_stay_in_use_after_an_outage()
{
    store_absence_fixture fixture(3);
    fixture.fleet.store.set_available(false);
    std::this_thread::sleep_for(store_outage);
    expect_live_upstream_in_use(fixture);
}

/// Guards against live upstreams that are dropped for a moment after a short
/// outage: two of their renewals failed, and the third came a little too late.
void live_upstreams_stay_in_use_after_a_short_outage()
{
    store_absence_fixture fixture(1);
    static_cast<void>(fixture.find_reader_after_answer());
    fixture.fleet.store.set_available(false);
    std::this_thread::sleep_for(1600ms);
    expect_live_upstream_in_use(fixture);
}

/// The grace period ends: an upstream that does not come back is gone.
void upstreams_that_do_not_come_back_after_an_outage_are_gone()
{
    store_absence_fixture fixture(3);
    auto& store = fixture.fleet.store;
    store.set_available(false);
    std::this_thread::sleep_for(store_outage);
    fixture.fleet.unregister_upstream("u");
    store.set_available(true);
    const auto limit = drain_delay + news_time;
    expect_removal_within(fixture.measure_removal(std::nullopt, limit), limit);
}

} // namespace

Test(store_absence, hand_over_after_outage)
{
    a_node_that_takes_over_forgets_an_earlier_outage();
}
Test(store_absence, returning_reader)
{
    a_reader_that_returns_gives_its_peers_no_grace();
}
Test(store_absence, long_deadline)
{
    a_hand_over_at_a_long_deadline_gives_no_grace();
}
Test(store_absence, short_cut)
{
    a_reader_back_from_a_short_cut_gives_no_grace();
}
Test(store_absence, live_upstreams)
{
    live_upstreams_stay_in_use_after_an_outage();
}
Test(store_absence, short_outage)
{
    live_upstreams_stay_in_use_after_a_short_outage();
}
Test(store_absence, departed_upstreams)
{
    upstreams_that_do_not_come_back_after_an_outage_are_gone();
}
