// A gateway freezes while the operator writes large configurations in quick
// succession. Does it apply the last one after it has woken up?

#include "stage.hpp"

#include <csignal>

namespace
{

using namespace stage;

constexpr int config_apply_ms = 3000;
constexpr int contact_ms = 4000;
constexpr int deadline_ms = 1000;
constexpr int routes = 1400;
constexpr std::size_t value_bytes = 1048576;
constexpr int storm_gap_ms = 200;
constexpr int storm_changes = 21;
constexpr int freeze_ms = 4000;
constexpr int first_version = 7;

/// The route "invoices" and many more, as after `big_config`.
std::string make_configuration(int version, const std::string& service)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int index = 0; index <= routes; ++index) {
        const auto name =
            index == 0 ? "invoices" : "more-" + std::to_string(index);
        text += (index == 0 ? R"({"name":")" : R"(,{"name":")") + name +
                R"(","host":"review.example","prefix":"/)" + name +
                R"(/","routeType":"idempotent","timeoutMs":1000,)"
                R"("targetLatencyMs":400,"priority":2,"service":")" +
                (index == 0 ? service : "ledger-view") + R"(","attempts":2})";
    }
    return text +
           R"(],"services":[{"name":"ledger-view","healthPath":"/health",)"
           R"("maxConnections":96,"protocol":"h1","tls":false},)"
           R"({"name":"stock-rack","healthPath":"/health",)"
           R"("maxConnections":96,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

std::size_t count_runs(backend& at, const std::string& prefix)
{
    std::size_t runs = 0;
    for (const auto& each : at.arrivals()) {
        runs += each.has_run && each.id.starts_with(prefix) ? 1 : 0;
    }
    return runs;
}

void send_requests(const gateway& front, const std::string& prefix, int count)
{
    for (int index = 0; index < count; ++index) {
        const auto id = prefix + std::to_string(index);
        const auto result = fetch(front.callers(), "GET", "/invoices/1", id,
                                  deadline_ms, deadline_ms);
        record("answer to " + id + ": " + std::to_string(result.status));
        sleep(100);
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
    int version = first_version;
    const auto configuration = make_configuration(version, "ledger-view");
    record("a configuration has " + std::to_string(configuration.size()) +
           " bytes");
    if (configuration.size() > value_bytes) {
        finish(exit_not_run);
    }
    platform.put("op/config", configuration);
    backend ledger(platform,
                   {.id = "i-a", .service = "ledger-view", .zone = "bangor"});
    backend stock(platform,
                  {.id = "i-b", .service = "stock-rack", .zone = "bangor"});
    const auto port = platform.open_port("front-1");
    const int peer_port = find_free_port();
    gateway front({"front-1", "bangor", 0.25, port->address()}, peer_port,
                  {peer_port});
    front.start();
    if (!front.wait_until_ready(15000)) {
        finish(exit_not_run);
    }
    sleep(contact_ms + 1000);
    send_requests(front, "before-", 10);
    const auto frozen_at = clock::now();
    if (has_trouble()) {
        front.send_signal(SIGSTOP);
    }
    auto acknowledged_at = clock::now();
    std::thread waking([&] {
        std::this_thread::sleep_until(frozen_at + milliseconds(freeze_ms));
        if (has_trouble()) {
            front.send_signal(SIGCONT);
        }
    });
    for (int change = 0; change < storm_changes; ++change) {
        std::this_thread::sleep_until(frozen_at +
                                      milliseconds(change * storm_gap_ms));
        ++version;
        const bool is_last = change + 1 == storm_changes;
        acknowledged_at = platform.put(
            "op/config", make_configuration(version, is_last ? "stock-rack"
                                                             : "ledger-view"));
        record_at(acknowledged_at,
                  "store: acknowledged version " + std::to_string(version));
    }
    waking.join();
    std::this_thread::sleep_until(
        std::max(acknowledged_at + milliseconds(config_apply_ms),
                 frozen_at + milliseconds(freeze_ms + contact_ms)) +
        milliseconds(500));
    send_requests(front, "after-", 40);
    const auto old_runs = count_runs(ledger, "after-");
    const auto new_runs = count_runs(stock, "after-");
    record("requests sent over " + std::to_string(config_apply_ms) +
           " ms after the last ack, in touch again: run by the service of "
           "the versions before: " +
           std::to_string(old_runs) +
           ", of the last version: " + std::to_string(new_runs));
    sleep(12000);
    send_requests(front, "later-", 10);
    record("12 s later: run by the service of the versions before: " +
           std::to_string(count_runs(ledger, "later-")) +
           ", of the last version: " +
           std::to_string(count_runs(stock, "later-")));
    if (count_runs(ledger, "before-") == 0) {
        finish(exit_not_run);
    }
    finish(old_runs > 0 ? exit_broken : exit_held);
}
