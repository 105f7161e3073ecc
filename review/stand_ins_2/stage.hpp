#ifndef TAMARACKHOIST_REVIEW_STAGE_2_HPP
#define TAMARACKHOIST_REVIEW_STAGE_2_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins for the platform's store, for servers and for requesters, and real
/// gateway processes, all on loopback. Blocking sockets, one thread for each
/// connection.
namespace review
{

using steady = std::chrono::steady_clock;

struct endpoint {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    [[nodiscard]] std::string to_text() const
    {
        return address + ":" + std::to_string(port);
    }
};

/// Returns an endpoint that nobody listens on.
[[nodiscard]] endpoint find_free_endpoint();

/// Writes lines with the time since the start of the case.
class record
{
public:
    explicit record(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    const steady::time_point start_ = steady::now();
};

/// A request or a response. The first line is split at the first two blanks.
struct message {
    std::string first;
    std::string second;
    std::string third;
    /// By the name in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const;
};

/// One TCP connection with buffered reads.
class connection
{
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Returns null if nobody accepts within the timeout.
    static std::unique_ptr<connection> open(const endpoint& target);

    bool send(const std::string& bytes);
    /// Reads one message with a length; empty on an error, the end of the
    /// connection or a timeout.
    std::optional<message> read(std::chrono::milliseconds timeout);
    /// Ends reading and writing; safe from other threads.
    void shut_down();

private:
    bool fill(steady::time_point end);

    const int descriptor_;
    std::string buffer_;
};

/// Accepts connections and runs `serve` for each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    explicit listener(handler serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] const endpoint& address() const { return address_; }
    /// Ends all connections that are open now.
    void drop_connections();

private:
    void accept_all();

    const handler serve_;
    endpoint address_;
    int descriptor_ = -1;
    std::atomic<bool> is_stopped_{false};
    std::mutex mutex_;
    std::set<connection*> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// The store as the platform's page describes it: pages, watches, history and
/// eras.
class store
{
public:
    store();
    ~store();

    [[nodiscard]] const endpoint& address() const
    {
        return entrances_.front()->accepting->address();
    }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Opens an address for one machine and returns its number.
    std::size_t add_entrance();
    [[nodiscard]] const endpoint& entrance(std::size_t number) const
    {
        return entrances_[number]->accepting->address();
    }
    /// Calls of this machine get no answer any more.
    void cut(std::size_t number) { entrances_[number]->is_cut = true; }
    /// Time of the machine's last call.
    [[nodiscard]] steady::time_point last_call(std::size_t number);
    /// While the store is down, it ends all connections without an answer.
    void set_down(bool is_down);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool is_removed = false;
    };

    struct machine_entrance {
        std::atomic<bool> is_cut{false};
        steady::time_point last_call{};
        std::unique_ptr<listener> accepting;
    };

    void serve(connection& caller, machine_entrance& entrance);
    /// Returns the body of the answer, empty for an unknown call.
    std::string answer(const std::string& target);
    /// Holds an answer back while the machine is cut off. Returns whether to
    /// send it.
    bool wait_for_passage(const machine_entrance& entrance);
    std::string list(const std::string& after);
    std::string watch(std::uint64_t after, std::chrono::milliseconds wait);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    bool is_stopped_ = false;
    std::atomic<bool> is_down_{false};
    std::vector<std::unique_ptr<machine_entrance>> entrances_;
};

/// A gateway process with the settings that the deploy file's template makes.
class gateway
{
public:
    struct options {
        std::string name;
        std::string zone;
        endpoint store;
        std::vector<endpoint> seeds;
        std::string folder;
        /// Free port for the others of the fleet.
        endpoint peers;
    };

    explicit gateway(options settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start();
    void send_signal(int number) const;
    /// Waits until the process has ended; kills it after the timeout.
    void wait_for_end(std::chrono::milliseconds timeout);
    /// Whether the process has ended by itself.
    [[nodiscard]] bool has_ended();
    [[nodiscard]] const endpoint& callers() const { return callers_; }
    [[nodiscard]] bool is_ready() const;

private:
    const options options_;
    const endpoint callers_;
    const endpoint readiness_;
    const endpoint metrics_;
    pid_t process_ = -1;
};

/// Waits until all gateways answer their readiness check with 200.
[[nodiscard]] bool
wait_until_ready(const std::vector<std::unique_ptr<gateway>>& gateways,
                 std::chrono::milliseconds timeout);

/// Whether the case is to cause its disruption.
[[nodiscard]] bool has_trouble();

/// A folder of its own for settings and logs, removed at the end.
class scratch_folder
{
public:
    scratch_folder();
    ~scratch_folder();
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// Returns the entry that a server writes of itself.
[[nodiscard]] std::string make_entry(const std::string& service,
                                     const endpoint& address,
                                     const std::string& zone,
                                     const std::string& state = "ready");

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

} // namespace review

#endif
