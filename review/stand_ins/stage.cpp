#include "stage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage
{

namespace
{

const time_point started_at = clock::now();
std::mutex record_mutex;
std::ofstream record_file;
std::string temporary_folder = "/tmp";
std::mutex process_mutex;
std::vector<pid_t> processes;

constexpr int poll_interval_ms = 10;
constexpr int history_s = 20;

sockaddr_in to_socket_address(const endpoint& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(target.port));
    inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
    return address;
}

int open_listener(endpoint& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto bound = to_socket_address(address);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&bound), sizeof bound) !=
            0 ||
        listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t size = sizeof bound;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    return descriptor;
}

int milliseconds_until(time_point deadline)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - clock::now());
    return left.count() < 0 ? 0 : static_cast<int>(left.count()) + 1;
}

std::string encode_base64(const std::string& text)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t position = 0; position < text.size(); position += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group <<= 8U;
            if (position + index < text.size()) {
                group |= static_cast<unsigned char>(text[position + index]);
            }
        }
        for (std::size_t index = 0; index < 4; ++index) {
            encoded += position + index > text.size()
                           ? '='
                           : digits[(group >> (18 - 6 * index)) & 63U];
        }
    }
    return encoded;
}

std::string query_value(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    if (query == std::string::npos) {
        return {};
    }
    std::istringstream parts(target.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::string make_response(const std::string& status, const std::string& body,
                          const std::string& headers = {})
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           headers + "\r\n" + body;
}

} // namespace

double seconds()
{
    return seconds_at(clock::now());
}

double seconds_at(time_point time)
{
    return std::chrono::duration<double>(time - started_at).count();
}

void sleep(int duration_ms)
{
    std::this_thread::sleep_for(milliseconds(duration_ms));
}

void open_record(const std::string& path)
{
    record_file.open(path, std::ios::trunc);
}

void record(const std::string& text)
{
    record_at(clock::now(), text);
}

void record_at(time_point time, const std::string& text)
{
    const std::lock_guard guard(record_mutex);
    std::array<char, 32> stamp{};
    std::snprintf(stamp.data(), stamp.size(), "%9.3f  ", seconds_at(time));
    record_file << stamp.data() << text << '\n' << std::flush;
}

void finish(int exit_code)
{
    {
        const std::lock_guard guard(process_mutex);
        for (const auto process : processes) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
    record(exit_code == exit_held     ? "result: the rule held"
           : exit_code == exit_broken ? "result: the rule was broken"
                                      : "result: the case couldn't run");
    std::_Exit(exit_code);
}

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message::target() const
{
    std::istringstream parts(start_line);
    std::string first;
    std::string second;
    parts >> first >> second;
    return second;
}

int message::status() const
{
    return std::atoi(target().c_str());
}

connection::connection(int descriptor) : descriptor_(descriptor)
{
    const int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
        descriptor_ = -1;
    }
}

void connection::reset()
{
    const linger no_wait{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
    close();
}

bool connection::is_closed() const
{
    pollfd entry{descriptor_, POLLIN, 0};
    if (poll(&entry, 1, 0) <= 0) {
        return false;
    }
    char byte = 0;
    const auto size = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::fill(time_point deadline)
{
    pollfd entry{descriptor_, POLLIN, 0};
    if (descriptor_ < 0 || poll(&entry, 1, milliseconds_until(deadline)) <= 0) {
        return false;
    }
    std::array<char, 65536> bytes{};
    const auto size = recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        has_ended_ = true;
        return false;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

bool connection::read_message(message& result, time_point deadline,
                              bool is_response)
{
    result = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return false;
        }
    }
    std::istringstream head(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    result.start_line = line.substr(0, line.size() - 1);
    while (std::getline(head, line)) {
        line.pop_back();
        const auto colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        result.headers.emplace_back(line.substr(0, colon), value);
    }
    const auto length = result.header("Content-Length");
    if (!length.empty()) {
        const auto size = static_cast<std::size_t>(std::stoull(length));
        while (buffer_.size() < size) {
            if (!fill(deadline)) {
                return false;
            }
        }
        result.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }
    if (strcasecmp(result.header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
        while (true) {
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            const auto size = static_cast<std::size_t>(
                std::stoull(buffer_.substr(0, end), nullptr, 16));
            while (buffer_.size() < end + 2 + size + 2) {
                if (!fill(deadline)) {
                    return false;
                }
            }
            result.body += buffer_.substr(end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    if (is_response && result.status() != 204 && result.status() != 304) {
        while (fill(deadline)) {
        }
        result.body = std::exchange(buffer_, {});
        return has_ended_;
    }
    return true;
}

bool connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = send(descriptor_, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string endpoint::to_text() const
{
    return address + ":" + std::to_string(port);
}

int find_free_port()
{
    endpoint address;
    const int descriptor = open_listener(address);
    ::close(descriptor);
    return address.port;
}

std::unique_ptr<connection> connect_to(const endpoint& target, int timeout_ms)
{
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = to_socket_address(target);
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0) {
        pollfd entry{descriptor, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&entry, 1, timeout_ms) <= 0 ||
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0) {
            ::close(descriptor);
            return nullptr;
        }
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(descriptor);
}

server::server(handler handle) : listener_(open_listener(address_))
{
    if (listener_ < 0) {
        record("a stand-in can't listen");
        finish(exit_not_run);
    }
    std::thread([this, listener = listener_.load(),
                 handle = std::move(handle)] {
        while (true) {
            const int accepted =
                accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                if (listener_ < 0) {
                    return;
                }
                continue;
            }
            std::thread([accepted, handle] {
                connection caller(accepted);
                handle(caller);
            }).detach();
        }
    }).detach();
}

void server::stop()
{
    const auto listener = listener_.exchange(-1);
    shutdown(listener, SHUT_RDWR);
    ::close(listener);
}

store::store() = default;

time_point store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard(mutex_);
    items_[key] = {value, ++revision_, false};
    append_event(key, items_[key]);
    changed_.notify_all();
    return clock::now();
}

time_point store::remove(const std::string& key)
{
    const std::lock_guard guard(mutex_);
    items_[key] = {{}, ++revision_, true};
    append_event(key, items_[key]);
    changed_.notify_all();
    return clock::now();
}

std::shared_ptr<store::port> store::open_port(const std::string& caller)
{
    auto opened = std::make_shared<port>();
    opened->caller_ = caller;
    opened->server_ = std::make_unique<server>(
        [this, opened](connection& from) { serve(*opened, from); });
    return opened;
}

std::string store::list(const std::string& prefix)
{
    const std::lock_guard guard(mutex_);
    std::string items;
    for (const auto& [key, stored] : items_) {
        if (stored.is_removed || !key.starts_with(prefix)) {
            continue;
        }
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key +
                 "\",\"value\":\"" + encode_base64(stored.value) +
                 "\",\"revision\":" + std::to_string(stored.revision) +
                 ",\"created\":" + std::to_string(stored.revision) +
                 ",\"lease\":0}";
    }
    return "{\"items\":[" + items + "],\"truncated\":false,\"storeRevision\":" +
           std::to_string(revision_) + "}";
}

void store::append_event(const std::string& key, const item& written)
{
    auto text = "{\"key\":\"" + key +
                "\",\"revision\":" + std::to_string(written.revision);
    text += written.is_removed
                ? ",\"deleted\":true}"
                : ",\"value\":\"" + encode_base64(written.value) +
                      "\",\"created\":" + std::to_string(written.revision) +
                      ",\"lease\":0}";
    history_.push_back({std::move(text), key, written.revision, clock::now()});
}

std::optional<std::string> store::wait_for_changes(port& at,
                                                   const std::string& prefix,
                                                   std::uint64_t after,
                                                   int wait_ms)
{
    std::unique_lock guard(mutex_);
    const auto oldest = clock::now() - std::chrono::seconds(history_s);
    while (!history_.empty() && history_.front().at < oldest) {
        forgotten_revision_ = history_.front().revision;
        history_.erase(history_.begin());
    }
    if (after < forgotten_revision_) {
        return std::nullopt;
    }
    ++at.open_watches_;
    changed_.wait_for(guard, milliseconds(wait_ms),
                      [&] { return revision_ > after; });
    --at.open_watches_;
    std::string events;
    for (const auto& each : history_) {
        if (each.revision > after && each.key.starts_with(prefix)) {
            events += (events.empty() ? "" : ",") + each.text;
        }
    }
    return "{\"events\":[" + events +
           "],\"storeRevision\":" + std::to_string(revision_) + "}";
}

void store::serve(port& at, connection& caller)
{
    message request;
    while (caller.read_message(request, clock::now() + std::chrono::hours(1),
                               false)) {
        ++at.calls_;
        at.last_call_at_ = clock::now();
        const auto target = request.target();
        record("store: call of " + at.caller_ + " " + target);
        std::string body;
        if (at.mode_ == store_mode::busy) {
            caller.write(make_response("503 Service Unavailable", "{}"));
            continue;
        }
        if (target.starts_with("/kv-watch")) {
            const auto changes =
                wait_for_changes(at, query_value(target, "prefix"),
                                 std::stoull(query_value(target, "after")),
                                 std::stoi(query_value(target, "waitMs")));
            if (!changes && at.mode_ == store_mode::serving) {
                record("store: 410 for " + at.caller_);
                caller.write(make_response("410 Gone", "{}"));
                continue;
            }
            body = changes.value_or("{}");
        } else {
            body = list(query_value(target, "prefix"));
        }
        if (at.mode_ == store_mode::silent) {
            record("store: the answer to " + at.caller_ + " is lost");
            // This connection returns nothing further.
            while (caller.read_message(
                request, clock::now() + std::chrono::hours(1), false)) {
                record("store: call of " + at.caller_ + " " + request.target() +
                       " on the lost connection");
            }
            return;
        }
        caller.write(make_response("200 OK", body,
                                   "Content-Type: application/json\r\n"));
    }
}

backend::backend(store& platform, options options)
    : platform_(platform), options_(std::move(options)),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())
{
    server_ =
        std::make_unique<server>([this](connection& caller) { serve(caller); });
    register_in_store();
}

void backend::register_in_store()
{
    platform_.put("servers/" + options_.id,
                  "{\"service\":\"" + options_.service + "\",\"address\":\"" +
                      server_->address().to_text() + "\",\"zone\":\"" +
                      options_.zone + "\",\"version\":\"v1\",\"slots\":" +
                      std::to_string(options_.slots) + ",\"state\":\"" +
                      (is_draining_ ? "draining" : "ready") +
                      "\",\"warmupLeftMs\":0,\"sequence\":" +
                      std::to_string(++sequence_) +
                      ",\"born\":" + std::to_string(born_) + "}");
}

time_point backend::drain()
{
    is_draining_ = true;
    register_in_store();
    const auto acknowledged_at = clock::now();
    record("store: acknowledged that " + options_.id + " is draining");
    return acknowledged_at;
}

void backend::leave()
{
    has_left_ = true;
    server_->stop();
    platform_.remove("servers/" + options_.id);
    record(options_.id + " has left");
}

void backend::set_answer(answer_hook hook)
{
    const std::lock_guard guard(mutex_);
    hook_ = std::move(hook);
}

std::vector<arrival> backend::arrivals()
{
    const std::lock_guard guard(mutex_);
    return arrivals_;
}

void backend::serve(connection& caller)
{
    if (++open_connections_ > options_.max_connections) {
        --open_connections_;
        caller.reset();
        return;
    }
    message request;
    while (caller.descriptor() >= 0 &&
           caller.read_message(request, clock::now() + std::chrono::hours(1),
                               false)) {
        if (has_left_) {
            caller.close();
            break;
        }
        answer(caller, request);
    }
    --open_connections_;
}

void backend::answer(connection& caller, const message& request)
{
    if (request.target() == "/health") {
        caller.write(
            make_response(is_draining_ ? "503 Service Unavailable" : "200 OK",
                          "", "X-Instance-Id: " + options_.id + "\r\n"));
        return;
    }
    const auto id = request.header("X-Request-Id");
    const auto target = request.header("X-Target-Instance");
    if (!target.empty() && target != options_.id) {
        caller.write(make_response("421 Misdirected Request", "",
                                   "X-Instance-Id: " + options_.id + "\r\n"));
        return;
    }
    const auto echo = "X-Request-Id: " + id + "\r\n";
    const auto not_run = echo + "X-Not-Executed: 1\r\n";
    const auto arrived_at = clock::now();
    const auto deadline_text = request.header("X-Deadline-Ms");
    const auto deadline =
        arrived_at + milliseconds(deadline_text.empty()
                                      ? 3600000
                                      : std::stoi(deadline_text));
    std::size_t index = 0;
    answer_hook hook;
    {
        std::unique_lock guard(mutex_);
        index = arrivals_.size();
        arrivals_.push_back({id, arrived_at, false, request.target()});
        if (running_ >= options_.slots && waiting_ >= options_.queue) {
            guard.unlock();
            record(options_.id + ": rejected " + id);
            caller.write(make_response("503 Service Unavailable", "", not_run));
            return;
        }
        ++waiting_;
        while (running_ >= options_.slots && clock::now() < deadline &&
               !caller.is_closed() && !has_left_) {
            slot_free_.wait_for(guard, milliseconds(poll_interval_ms));
        }
        --waiting_;
        if (has_left_) {
            caller.close();
            return;
        }
        if (running_ >= options_.slots) {
            guard.unlock();
            caller.write(make_response("503 Service Unavailable", "", not_run));
            return;
        }
        ++running_;
        arrivals_[index].has_run = true;
        hook = hook_;
    }
    record(options_.id + ": runs " + id + " " + request.start_line);
    const auto done_at =
        clock::now() +
        milliseconds(static_cast<int>(options_.work_ms * slowness_.load()));
    bool is_dropped = false;
    while (clock::now() < done_at && !is_dropped && !has_left_) {
        sleep(std::min(poll_interval_ms, milliseconds_until(done_at)));
        is_dropped = caller.is_closed() || clock::now() > deadline;
    }
    {
        const std::lock_guard guard(mutex_);
        --running_;
    }
    slot_free_.notify_all();
    if (has_left_) {
        record(options_.id + ": left while it ran " + id);
        caller.close();
        return;
    }
    const auto stamp = options_.id + "." + id + "." + std::to_string(index);
    const auto headers = echo + "X-Server-Stamp: " + stamp + "\r\n";
    if (is_dropped) {
        record(options_.id + ": dropped " + id);
        caller.write(make_response("504 Gateway Timeout", "", headers));
        return;
    }
    if (hook) {
        if (const auto special = hook(request, headers)) {
            caller.write(*special);
            return;
        }
    }
    caller.write(make_response("200 OK", "ran " + id, headers));
}

answer fetch(const endpoint& target, const std::string& method,
             const std::string& path, const std::string& id, int deadline_ms,
             int timeout_ms, const std::string& body)
{
    answer result;
    result.sent_at = clock::now();
    const auto deadline = result.sent_at + milliseconds(timeout_ms);
    const auto caller = connect_to(target, 1000);
    result.ended_at = clock::now();
    if (caller == nullptr) {
        return result;
    }
    std::string request =
        method + " " + path +
        " HTTP/1.1\r\nHost: review.example\r\n"
        "X-Request-Id: " +
        id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!body.empty()) {
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    caller->write(request + "\r\n" + body);
    if (caller->read_message(result.content, deadline, true)) {
        result.status = result.content.status();
    }
    result.ended_at = clock::now();
    return result;
}

gateway::gateway(const options& options, int peer_port,
                 const std::vector<int>& seed_ports)
    : options_(options)
{
    callers_.port = find_free_port();
    readiness_.port = find_free_port();
    metrics_.port = find_free_port();
    peers_.port = peer_port;
    std::string seeds;
    for (const auto port : seed_ports) {
        seeds +=
            (seeds.empty() ? "" : ",") + endpoint{"127.0.0.1", port}.to_text();
    }
    settings_path_ = temporary_folder + "/" + options_.name + ".ini";
    std::ofstream(settings_path_)
        << "[node]\nid = " << options_.name
        << "\nfailure_domain = " << options_.zone
        << "\nregion = gogledd\ncores = " << options_.cores
        << "\nmemory_mb = 260\nshutdown_grace = 6s\n\n[addresses]\ncallers = "
        << callers_.to_text() << "\nreadiness = " << readiness_.to_text()
        << "\npeers = " << peers_.to_text()
        << "\nmetrics = " << metrics_.to_text()
        << "\nstore = " << options_.store.to_text() << "\nseeds = " << seeds
        << "\n\n[fleet]\nspare_nodes = 4\ncaller_delay = 3ms\n"
           "news_age = 3000ms\n\n[extra attempts]\nratio = 0.2\n"
           "allowance = 52\nwindow = 10s\n";
}

void gateway::start()
{
    const auto config = "--config=" + settings_path_;
    const auto log = temporary_folder + "/" + options_.name + ".log";
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output =
            open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
        dup2(output, 1);
        dup2(output, 2);
        execl("target/packages/programs/tamarackhoistd", "tamarackhoistd",
              "--role=gateway", config.c_str(), nullptr);
        _exit(127);
    }
    const std::lock_guard guard(process_mutex);
    processes.push_back(process_);
    record("started the gateway " + options_.name);
}

void gateway::send_signal(int number) const
{
    record("signal " + std::string(strsignal(number)) + " to " + options_.name);
    kill(process_, number);
}

bool gateway::is_running()
{
    const std::lock_guard guard(process_mutex);
    if (process_ == 0) {
        return false;
    }
    if (waitpid(process_, &exit_status_, WNOHANG) != process_) {
        return true;
    }
    std::erase(processes, process_);
    process_ = 0;
    return false;
}

bool gateway::wait_for_end(int timeout_ms)
{
    const auto deadline = clock::now() + milliseconds(timeout_ms);
    while (is_running()) {
        if (clock::now() > deadline) {
            return false;
        }
        sleep(poll_interval_ms);
    }
    return true;
}

bool gateway::is_ready() const
{
    return fetch(readiness_, "GET", "/ready", "ready", 1000, 1000).status ==
           200;
}

bool gateway::wait_until_ready(int timeout_ms) const
{
    const auto deadline = clock::now() + milliseconds(timeout_ms);
    while (!is_ready()) {
        if (clock::now() > deadline) {
            return false;
        }
        sleep(100);
    }
    record(options_.name + " is ready");
    return true;
}

void set_temporary_folder(const std::string& path)
{
    temporary_folder = path;
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace stage
