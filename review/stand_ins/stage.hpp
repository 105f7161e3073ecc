#ifndef TAMARACKHOIST_REVIEW_STAGE_HPP
#define TAMARACKHOIST_REVIEW_STAGE_HPP

// Stand-ins for the platform's store, the upstreams and the callers, and the
// start of the project's gateways. They speak what the users' pages say, with
// one thread per connection, on loopback addresses.

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace stage
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

/// Time since the start of the program.
double seconds();
double seconds_at(time_point time);
void sleep(int duration_ms);

/// Opens the record file. Every line of `record` goes there.
void open_record(const std::string& path);
void record(const std::string& text);
void record_at(time_point time, const std::string& text);

/// Ends all gateways that were started and then this program.
[[noreturn]] void finish(int exit_code);

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    /// Status of a response, 0 if there is none.
    [[nodiscard]] int status() const;
};

/// A TCP connection with a read buffer. Reads end at the deadline.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    bool read_message(message& result, time_point deadline, bool is_response);
    bool write(const std::string& bytes);
    /// Whether the peer has closed or reset the connection.
    [[nodiscard]] bool is_closed() const;
    /// Closes the connection with a reset.
    void reset();
    void close();
    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    bool fill(time_point deadline);

    int descriptor_;
    std::string buffer_;
    bool has_ended_ = false;
};

struct endpoint {
    std::string address = "127.0.0.1";
    int port = 0;

    [[nodiscard]] std::string to_text() const;
};

/// A port that was free a moment ago.
int find_free_port();
std::unique_ptr<connection> connect_to(const endpoint& target, int timeout_ms);

/// Accepts connections and runs `handle` for each on its own thread.
class server
{
public:
    using handler = std::function<void(connection&)>;

    explicit server(handler handle);
    [[nodiscard]] endpoint address() const { return address_; }
    /// Stops to listen; connections stay.
    void stop();

private:
    endpoint address_;
    std::atomic<int> listener_;
};

enum class store_mode {
    serving,
    /// Answers are lost, and a connection on which one was lost returns
    /// nothing further.
    silent,
    /// 503, nothing was done.
    busy
};

/// The platform's store. Every gateway calls it at a port of its own.
class store
{
public:
    class port;

    store();
    /// Returns the time of the acknowledgement.
    time_point put(const std::string& key, const std::string& value);
    time_point remove(const std::string& key);
    std::shared_ptr<port> open_port(const std::string& caller);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool is_removed = false;
    };

    struct event {
        std::string text;
        std::string key;
        std::uint64_t revision = 0;
        time_point at;
    };

    void append_event(const std::string& key, const item& written);
    std::string list(const std::string& prefix);
    /// Nothing if the history after that revision is no longer available.
    std::optional<std::string> wait_for_changes(port& at,
                                                const std::string& prefix,
                                                std::uint64_t after,
                                                int wait_ms);
    void serve(port& at, connection& caller);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t forgotten_revision_ = 0;
};

class store::port
{
public:
    [[nodiscard]] endpoint address() const { return server_->address(); }
    void set_mode(store_mode mode) { mode_ = mode; }
    /// Number of calls so far, and of watches that wait.
    [[nodiscard]] int calls() const { return calls_; }
    [[nodiscard]] int open_watches() const { return open_watches_; }
    [[nodiscard]] time_point last_call_at() const { return last_call_at_; }

private:
    friend class store;

    std::string caller_;
    std::atomic<store_mode> mode_ = store_mode::serving;
    std::atomic<int> calls_ = 0;
    std::atomic<int> open_watches_ = 0;
    std::atomic<time_point> last_call_at_ = time_point();
    std::unique_ptr<server> server_;
};

struct arrival {
    std::string id;
    time_point at;
    bool has_run = false;
    std::string target;
};

/// A backend. It registers itself in the store and reports there.
class backend
{
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 4;
        int queue = 16;
        int max_connections = 96;
        int work_ms = 90;
    };

    backend(store& platform, options options);
    /// Writes "draining"; returns the time of the acknowledgement.
    time_point drain();
    /// Ends the backend: its connections break off, its entry is removed.
    void leave();
    /// Factor of the work time from now on.
    void set_slowness(double factor) { slowness_ = factor; }
    /// Replaces the normal answer to a request that has run, if set.
    using answer_hook =
        std::function<std::optional<std::string>(const message&, std::string)>;
    void set_answer(answer_hook hook);
    [[nodiscard]] std::vector<arrival> arrivals();
    [[nodiscard]] const options& description() const { return options_; }
    [[nodiscard]] endpoint address() const { return server_->address(); }

private:
    void serve(connection& caller);
    void answer(connection& caller, const message& request);
    void register_in_store();

    store& platform_;
    options options_;
    std::atomic<double> slowness_ = 1.0;
    std::atomic<bool> is_draining_ = false;
    std::atomic<bool> has_left_ = false;
    std::atomic<int> open_connections_ = 0;
    std::atomic<int> sequence_ = 0;
    long long born_;
    std::mutex mutex_;
    std::condition_variable slot_free_;
    int running_ = 0;
    int waiting_ = 0;
    std::vector<arrival> arrivals_;
    answer_hook hook_;
    std::unique_ptr<server> server_;
};

struct answer {
    int status = 0;
    message content;
    time_point sent_at;
    time_point ended_at;
};

/// Sends one request on a new connection and waits for the answer.
answer fetch(const endpoint& target, const std::string& method,
             const std::string& path, const std::string& id, int deadline_ms,
             int timeout_ms, const std::string& body = {});

/// A gateway of the project, started with the command of the deploy file.
class gateway
{
public:
    struct options {
        std::string name;
        std::string zone;
        double cores = 0.25;
        endpoint store;
    };

    /// All gateways know all others of `all` as seeds.
    gateway(const options& options, int peer_port,
            const std::vector<int>& seed_ports);
    void start();
    void send_signal(int number) const;
    /// Whether the process still runs.
    [[nodiscard]] bool is_running();
    bool wait_for_end(int timeout_ms);
    [[nodiscard]] bool is_ready() const;
    bool wait_until_ready(int timeout_ms) const;
    [[nodiscard]] endpoint callers() const { return callers_; }
    [[nodiscard]] endpoint peers() const { return peers_; }
    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] int exit_status() const { return exit_status_; }

private:
    options options_;
    endpoint callers_;
    endpoint readiness_;
    endpoint peers_;
    endpoint metrics_;
    std::string settings_path_;
    pid_t process_ = 0;
    int exit_status_ = 0;
};

/// Folder for settings and logs, removed by the script.
void set_temporary_folder(const std::string& path);
bool has_trouble();

} // namespace stage

#endif
