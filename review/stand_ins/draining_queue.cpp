// Requests that wait for a connection to a backend when it reports that it
// drains: are they sent there later than `drainMs` after that?

#include "stage.hpp"

#include <csignal>

namespace
{

using namespace stage;

constexpr int drain_ms = 3000;
/// The backend leaves this long after `drainMs`.
constexpr int leave_after_ms = 600;
constexpr int deadline_ms = 4000;
constexpr double steady_per_second = 40;
constexpr double burst_factor = 2.2;
constexpr int steady_ms = 5000;
constexpr int burst_ms = 6000;
constexpr int drain_after_burst_began_ms = 5000;

const char* const configuration =
    R"({"version":7,"routes":[{"name":"invoices","host":"review.example",)"
    R"("prefix":"/invoices/","routeType":"idempotent","timeoutMs":4000,)"
    R"("targetLatencyMs":800,"priority":2,"service":"ledger-view",)"
    R"("attempts":2}],"services":[{"name":"ledger-view",)"
    R"("healthPath":"/health","maxConnections":34,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":262144,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

/// Callers that send requests at a rate, each on a connection of its own.
class traffic
{
public:
    explicit traffic(const endpoint& target) : target_(target) {}

    void run(int duration_ms, double per_second)
    {
        const auto end = clock::now() + milliseconds(duration_ms);
        auto next = clock::now();
        while (next < end) {
            std::this_thread::sleep_until(next);
            next += std::chrono::microseconds(
                static_cast<long>(1000000 / per_second));
            callers_.emplace_back([this, index = ++count_] {
                const auto id = "r-" + std::to_string(index);
                const auto result = fetch(target_, "GET", "/invoices/1", id,
                                          deadline_ms, deadline_ms + 1000);
                record("answer to " + id + ": " +
                       std::to_string(result.status));
                const std::lock_guard guard(mutex_);
                statuses_[id] = result.status;
            });
        }
    }

    void wait()
    {
        for (auto& caller : callers_) {
            caller.join();
        }
    }

    int status(const std::string& id) { return statuses_[id]; }

private:
    std::mutex mutex_;
    std::map<std::string, int> statuses_;
    endpoint target_;
    int count_ = 0;
    std::vector<std::thread> callers_;
};

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
    platform.put("op/config", configuration);
    std::vector<std::unique_ptr<backend>> backends;
    for (const auto* id : {"i-a", "i-b"}) {
        backends.push_back(std::make_unique<backend>(
            platform, backend::options{.id = id,
                                       .service = "ledger-view",
                                       .zone = "bangor",
                                       .slots = 2,
                                       .queue = 16,
                                       .max_connections = 34,
                                       .work_ms = 90}));
    }
    const auto port = platform.open_port("front-1");
    const int peer_port = find_free_port();
    gateway front({"front-1", "bangor", 0.25, port->address()}, peer_port,
                  {peer_port});
    front.start();
    if (!front.wait_until_ready(15000)) {
        finish(exit_not_run);
    }
    sleep(5000);
    traffic callers(front.callers());
    record("steady traffic");
    callers.run(steady_ms, steady_per_second);
    const auto factor = has_trouble() ? burst_factor : 1.0;
    record("traffic times " + std::to_string(factor));
    callers.run(drain_after_burst_began_ms, steady_per_second * factor);
    const auto drained_at = backends[0]->drain();
    callers.run(burst_ms - drain_after_burst_began_ms,
                steady_per_second * factor);
    record("steady traffic");
    std::thread leaving([&] {
        std::this_thread::sleep_until(drained_at +
                                      milliseconds(drain_ms + leave_after_ms));
        backends[0]->leave();
    });
    callers.run(deadline_ms, steady_per_second);
    callers.wait();
    leaving.join();
    int late = 0;
    int unanswered = 0;
    for (const auto& each : backends[0]->arrivals()) {
        if (each.at - drained_at > milliseconds(drain_ms)) {
            const auto status = callers.status(each.id);
            ++late;
            unanswered += status == 200 ? 0 : 1;
            record_at(each.at,
                      "reached the draining i-a over 3 s after the ack: " +
                          each.id + (each.has_run ? ", run" : ", not run") +
                          ", answered with " + std::to_string(status));
        }
    }
    record("requests that reached i-a too late: " + std::to_string(late) +
           ", of these without success: " + std::to_string(unanswered));
    if (backends[0]->arrivals().empty() || !front.is_running()) {
        finish(exit_not_run);
    }
    finish(late > 0 ? exit_broken : exit_held);
}
