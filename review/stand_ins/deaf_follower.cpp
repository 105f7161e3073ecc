// Two gateways of one zone. The store turns one away for a while, then that
// machine is removed as planned, then the store is silent for a while. Does the
// gateway that is left still learn of a configuration, long after all that?

#include "stage.hpp"

#include <csignal>

namespace
{

using namespace stage;

constexpr int calm_ms = 5000;
constexpr int outage_ms = 4500;
constexpr int settled_ms = 15000;
constexpr int config_apply_ms = 3000;
constexpr int deadline_ms = 1000;
constexpr int requests = 20;

std::string make_configuration(int version, const std::string& service)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"invoices","host":"review.example",)"
           R"("prefix":"/invoices/","routeType":"idempotent",)"
           R"("timeoutMs":1000,"targetLatencyMs":400,"priority":2,)"
           R"("service":")" +
           service +
           R"(","attempts":2}],"services":[{"name":"ledger-view",)"
           R"("healthPath":"/health","maxConnections":96,"protocol":"h1",)"
           R"("tls":false},{"name":"stock-rack","healthPath":"/health",)"
           R"("maxConnections":96,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

void wait_for(const std::string& what, int timeout_ms,
              const std::function<bool()>& condition)
{
    const auto deadline = clock::now() + milliseconds(timeout_ms);
    while (!condition()) {
        if (clock::now() > deadline) {
            record("did not happen: " + what);
            finish(exit_not_run);
        }
        sleep(5);
    }
    record(what);
}

/// Number of requests that reach the backend.
std::size_t count_runs(backend& at, const std::string& prefix)
{
    std::size_t runs = 0;
    for (const auto& each : at.arrivals()) {
        runs += each.has_run && each.id.starts_with(prefix) ? 1 : 0;
    }
    return runs;
}

void send_requests(const gateway& front, const std::string& prefix)
{
    for (int index = 0; index < requests; ++index) {
        const auto id = prefix + std::to_string(index);
        const auto result = fetch(front.callers(), "GET", "/invoices/1", id,
                                  deadline_ms, deadline_ms);
        record("answer to " + id + ": " + std::to_string(result.status));
        sleep(50);
    }
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3) {
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    open_record(arguments[1]);
    set_temporary_folder(arguments[2]);
    store platform;
    platform.put("op/config", make_configuration(7, "ledger-view"));
    backend ledger(platform,
                   {.id = "i-a", .service = "ledger-view", .zone = "bangor"});
    backend stock(platform,
                  {.id = "i-b", .service = "stock-rack", .zone = "bangor"});
    const auto port_1 = platform.open_port("front-1");
    const auto port_2 = platform.open_port("front-2");
    const std::vector<int> peers{find_free_port(), find_free_port()};
    gateway front_1({"front-1", "bangor", 0.5, port_1->address()}, peers[0],
                    peers);
    gateway front_2({"front-2", "bangor", 0.25, port_2->address()}, peers[1],
                    peers);
    front_1.start();
    front_2.start();
    if (!front_1.wait_until_ready(15000) || !front_2.wait_until_ready(15000)) {
        finish(exit_not_run);
    }
    sleep(calm_ms);
    send_requests(front_2, "before-");
    if (has_trouble()) {
        record("the store turns front-1 away with 503");
        port_1->set_mode(store_mode::busy);
        const int calls_before = port_2->calls();
        wait_for("front-2 calls the store itself", 6000,
                 [&] { return port_2->calls() > calls_before; });
        record("the store serves front-1 again");
        port_1->set_mode(store_mode::serving);
        wait_for("front-1 watches the store again", 4000,
                 [&] { return port_1->open_watches() > 0; });
        const int watches = port_1->calls();
        wait_for("the watch of front-1 was answered", 4000,
                 [&] { return port_1->calls() > watches; });
        sleep(500);
    }
    front_1.send_signal(SIGTERM);
    if (has_trouble()) {
        const int calls_then = port_2->calls();
        wait_for("front-2 calls the store itself", 6000,
                 [&] { return port_2->calls() > calls_then; });
        sleep(500);
        record("the store is silent");
        port_1->set_mode(store_mode::silent);
        port_2->set_mode(store_mode::silent);
        sleep(outage_ms);
        port_1->set_mode(store_mode::serving);
        port_2->set_mode(store_mode::serving);
        record("the store serves all again");
    } else {
        sleep(outage_ms);
    }
    front_1.wait_for_end(10000);
    sleep(settled_ms);
    const auto acknowledged_at =
        platform.put("op/config", make_configuration(8, "stock-rack"));
    record_at(acknowledged_at, "store: acknowledged version 8");
    std::this_thread::sleep_until(acknowledged_at +
                                  milliseconds(config_apply_ms + 500));
    send_requests(front_2, "after-");
    const auto old_runs = count_runs(ledger, "after-");
    const auto new_runs = count_runs(stock, "after-");
    record("requests sent over 3.5 s after the ack: run by the service of "
           "version 7: " +
           std::to_string(old_runs) +
           ", of version 8: " + std::to_string(new_runs));
    if (count_runs(ledger, "before-") == 0) {
        finish(exit_not_run);
    }
    finish(old_runs > 0 ? exit_broken : exit_held);
}
