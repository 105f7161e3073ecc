// A gateway is stopped as planned while requests wait there for a connection
// to a backend: does each of them get an answer?

#include "stage.hpp"

#include <csignal>

namespace
{

using namespace stage;

constexpr int deadline_ms = 4000;
constexpr int loss_slack_ms = 200;
constexpr int work_ms = 90;
/// Two backends with two slots each serve this many requests a second.
constexpr double capacity_per_second = 4 * 1000.0 / work_ms;
/// Load in steady state, as a fraction of that.
constexpr double load = 1.6;
constexpr int steady_ms = 6500;
constexpr int kept_connections = 20;
/// When requests are sent on the kept connections, after the SIGTERM.
constexpr int kept_delay_ms = 2250;

const char* const configuration =
    R"({"version":7,"routes":[{"name":"invoices","host":"review.example",)"
    R"("prefix":"/invoices/","routeType":"idempotent","timeoutMs":4000,)"
    R"("targetLatencyMs":800,"priority":2,"service":"ledger-view",)"
    R"("attempts":2}],"services":[{"name":"ledger-view",)"
    R"("healthPath":"/health","maxConnections":34,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
    R"("maxBodyBytes":262144,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

struct exchange {
    std::string id;
    answer result;
};

/// A caller that has had an answer and keeps its connection.
struct kept_connection {
    std::unique_ptr<connection> line;

    answer send(const std::string& id)
    {
        answer result;
        result.sent_at = clock::now();
        line->write("GET /invoices/1 HTTP/1.1\r\nHost: review.example\r\n"
                    "X-Request-Id: " +
                    id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                    "\r\n\r\n");
        if (line->read_message(
                result.content,
                result.sent_at + milliseconds(deadline_ms + 1000), true)) {
            result.status = result.content.status();
        }
        result.ended_at = clock::now();
        return result;
    }

    void open(const gateway& front, const std::string& id)
    {
        line = connect_to(front.callers(), 1000);
        const auto result = send(id);
        record("answer to " + id + ": " + std::to_string(result.status) + " " +
               result.content.header("Connection"));
    }
};

/// The platform's balancer: no new connections after two misses in a row.
class balancer
{
public:
    explicit balancer(const gateway& front)
    {
        std::thread([this, &front] {
            int misses = 0;
            while (true) {
                sleep(1000);
                misses = front.is_ready() ? 0 : misses + 1;
                ++polls_;
                record("ready: " + std::string(misses == 0 ? "yes" : "no"));
                if (misses == 2) {
                    is_open_ = false;
                    return;
                }
            }
        }).detach();
    }

    [[nodiscard]] bool is_open() const { return is_open_; }
    [[nodiscard]] int polls() const { return polls_; }

private:
    std::atomic<int> polls_ = 0;
    std::atomic<bool> is_open_ = true;
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
                                       .work_ms = work_ms}));
    }
    const auto port = platform.open_port("front-1");
    const int peer_port = find_free_port();
    gateway front({"front-1", "bangor", 0.25, port->address()}, peer_port,
                  {peer_port});
    front.start();
    if (!front.wait_until_ready(15000)) {
        finish(exit_not_run);
    }
    const balancer balancer(front);
    std::vector<kept_connection> kept(kept_connections);
    for (std::size_t index = 0; index < kept.size(); ++index) {
        kept[index].open(front, "warm-" + std::to_string(index));
    }
    std::mutex mutex;
    std::vector<exchange> exchanges;
    std::vector<std::thread> callers;
    const auto began_at = clock::now();
    auto next = began_at;
    bool is_stopped = false;
    int polls_before = 0;
    while (balancer.is_open() &&
           clock::now() - began_at < milliseconds(steady_ms + 8000)) {
        std::this_thread::sleep_until(next);
        next += std::chrono::microseconds(
            static_cast<long>(1000000 / (capacity_per_second * load)));
        if (clock::now() - began_at < milliseconds(steady_ms)) {
            polls_before = balancer.polls();
        } else if (!is_stopped && balancer.polls() > polls_before) {
            is_stopped = true;
            if (has_trouble()) {
                front.send_signal(SIGTERM);
            }
            for (std::size_t each = 0; each < kept.size(); ++each) {
                callers.emplace_back([&, each] {
                    sleep(kept_delay_ms + static_cast<int>(each) * 10);
                    if (kept[each].line->is_closed()) {
                        record("a kept connection was closed before");
                        return;
                    }
                    const auto id = "kept-" + std::to_string(each);
                    const auto result = kept[each].send(id);
                    record("answer to " + id + ": " +
                           std::to_string(result.status));
                    const std::lock_guard guard(mutex);
                    exchanges.push_back({id, result});
                });
            }
        }
        callers.emplace_back([&, index = callers.size()] {
            const auto id = "r-" + std::to_string(index);
            const auto result = fetch(front.callers(), "GET", "/invoices/1", id,
                                      deadline_ms, deadline_ms + 1000);
            record("answer to " + id + ": " + std::to_string(result.status));
            const std::lock_guard guard(mutex);
            exchanges.push_back({id, result});
        });
    }
    record("no new connections");
    for (auto& caller : callers) {
        caller.join();
    }
    std::map<std::string, int> reached;
    for (const auto& each : backends) {
        for (const auto& arrived : each->arrivals()) {
            ++reached[arrived.id];
        }
    }
    int lost = 0;
    for (const auto& [id, result] : exchanges) {
        const auto held = result.ended_at - result.sent_at;
        if (result.status != 0 || reached.contains(id) ||
            held < milliseconds(loss_slack_ms + 300) ||
            held > milliseconds(deadline_ms - 100)) {
            continue;
        }
        ++lost;
        record_at(
            result.ended_at,
            "closed without an answer: " + id + ", sent " +
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(held).count()) +
                " ms before, no backend has had it");
    }
    record("requests without an answer: " + std::to_string(lost));
    finish(lost > 0 ? exit_broken : exit_held);
}
