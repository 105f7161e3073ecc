#include "stage.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using std::chrono::milliseconds;

namespace
{

constexpr milliseconds connect_timeout{1000};
constexpr std::size_t max_page_items = 500;

sockaddr_in make_address(const endpoint& target)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    ::inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
    return address;
}

int listen_on_free_port(endpoint& address)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
    auto bound = make_address({address.address, 0});
    socklen_t size = sizeof(bound);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&bound), size);
    ::listen(descriptor, SOMAXCONN);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    address.port = ntohs(bound.sin_port);
    return descriptor;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string trim(const std::string& text)
{
    const auto begin = text.find_first_not_of(" \t");
    const auto end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string()
                                      : text.substr(begin, end - begin + 1);
}

message parse_head(const std::string& head)
{
    message parsed;
    auto line_end = head.find("\r\n");
    const auto line = head.substr(0, line_end);
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    parsed.first = line.substr(0, first);
    parsed.second = line.substr(first + 1, second - first - 1);
    parsed.third =
        second == std::string::npos ? std::string() : line.substr(second + 1);
    while (line_end + 2 < head.size()) {
        const auto begin = line_end + 2;
        line_end = std::min(head.find("\r\n", begin), head.size());
        const auto colon = head.find(':', begin);
        if (colon < line_end) {
            parsed.fields[to_lower(head.substr(begin, colon - begin))] =
                trim(head.substr(colon + 1, line_end - colon - 1));
        }
    }
    return parsed;
}

std::string encode_base64(const std::string& text)
{
    constexpr auto digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                            "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8;
            if (at + byte < text.size()) {
                group |= static_cast<unsigned char>(text[at + byte]);
            }
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool is_padding = at + digit > text.size();
            encoded.push_back(
                is_padding ? '=' : digits[(group >> (18 - 6 * digit)) & 63]);
        }
    }
    return encoded;
}

std::string find_parameter(const std::string& target, const std::string& name)
{
    auto begin = target.find('?');
    while (begin != std::string::npos) {
        const auto end = target.find('&', begin + 1);
        const auto pair = target.substr(begin + 1, end - begin - 1);
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
        begin = end;
    }
    return {};
}

std::string decode_percent(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded.push_back(static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16)));
            at += 2;
            continue;
        }
        decoded.push_back(text[at]);
    }
    return decoded;
}

} // namespace

endpoint find_free_endpoint()
{
    endpoint address;
    ::close(listen_on_free_port(address));
    return address;
}

record::record(const std::string& path) : file_(path) {}

void record::write(const std::string& line)
{
    const std::lock_guard guard(mutex_);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(steady::now() - start_);
    file_ << elapsed.count() << " ms  " << line << std::endl;
}

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(const endpoint& target)
{
    const int descriptor =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
    auto opened = std::make_unique<connection>(descriptor);
    const auto address = make_address(target);
    const timeval limit{connect_timeout.count() / 1000, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
        return nullptr;
    }
    return opened;
}

bool connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(steady::time_point end)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - steady::now()).count();
    pollfd waiting{descriptor_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16 * 1024];
    const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(milliseconds timeout)
{
    const auto end = steady::now() + timeout;
    auto head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
        if (!fill(end)) {
            return std::nullopt;
        }
        head_end = buffer_.find("\r\n\r\n");
    }
    auto parsed = parse_head(buffer_.substr(0, head_end + 2));
    const auto length = parsed.field("content-length");
    const auto total =
        head_end + 4 + (length.empty() ? 0 : std::stoull(length));
    while (buffer_.size() < total) {
        if (!fill(end)) {
            return std::nullopt;
        }
    }
    parsed.body = buffer_.substr(head_end + 4, total - head_end - 4);
    buffer_.erase(0, total);
    return parsed;
}

void connection::shut_down()
{
    ::shutdown(descriptor_, SHUT_RDWR);
}

listener::listener(handler serve) : serve_(std::move(serve))
{
    descriptor_ = listen_on_free_port(address_);
    acceptor_ = std::thread([this] { accept_all(); });
}

listener::~listener()
{
    is_stopped_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    acceptor_.join();
    ::close(descriptor_);
    drop_connections();
    for (auto& each : threads_) {
        each.join();
    }
}

void listener::drop_connections()
{
    const std::lock_guard guard(mutex_);
    for (auto* each : open_) {
        each->shut_down();
    }
}

void listener::accept_all()
{
    while (!is_stopped_) {
        const int accepted =
            ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const std::lock_guard guard(mutex_);
        threads_.emplace_back([this, accepted] {
            connection caller(accepted);
            {
                const std::lock_guard inner(mutex_);
                open_.insert(&caller);
            }
            serve_(caller);
            const std::lock_guard inner(mutex_);
            open_.erase(&caller);
        });
    }
}

store::store()
{
    add_entrance();
}

store::~store()
{
    {
        const std::lock_guard guard(mutex_);
        is_stopped_ = true;
    }
    changed_.notify_all();
    for (const auto& each : entrances_) {
        each->accepting.reset();
    }
}

std::size_t store::add_entrance()
{
    entrances_.push_back(std::make_unique<machine_entrance>());
    auto& added = *entrances_.back();
    added.accepting = std::make_unique<listener>(
        [this, &added](connection& caller) { serve(caller, added); });
    return entrances_.size() - 1;
}

steady::time_point store::last_call(std::size_t number)
{
    const std::lock_guard guard(mutex_);
    return entrances_[number]->last_call;
}

void store::set_down(bool is_down)
{
    is_down_ = is_down;
    for (const auto& each : entrances_) {
        if (is_down) {
            each->accepting->drop_connections();
        }
    }
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard(mutex_);
    items_[key] = {value, ++revision_, false};
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard guard(mutex_);
    items_[key] = {{}, ++revision_, true};
    changed_.notify_all();
}

void store::serve(connection& caller, machine_entrance& entrance)
{
    constexpr milliseconds idle_timeout{60'000};
    while (const auto request = caller.read(idle_timeout)) {
        if (is_down_) {
            return;
        }
        {
            const std::lock_guard guard(mutex_);
            entrance.last_call = steady::now();
        }
        const auto body = answer(request->second);
        if (!wait_for_passage(entrance) || is_down_) {
            return;
        }
        const bool is_found = !body.empty();
        if (!caller.send(std::string("HTTP/1.1 ") +
                         (is_found ? "200 OK" : "404 Not Found") +
                         "\r\nContent-Type: application/json\r\nStore-Era: 1"
                         "\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

std::string store::answer(const std::string& target)
{
    if (target.starts_with("/kv-range")) {
        return list(decode_percent(find_parameter(target, "after")));
    }
    if (target.starts_with("/kv-watch")) {
        const auto wait = find_parameter(target, "waitMs");
        return watch(std::stoull(find_parameter(target, "after")),
                     milliseconds(std::stoll(wait)));
    }
    return {};
}

bool store::wait_for_passage(const machine_entrance& entrance)
{
    while (entrance.is_cut) {
        std::this_thread::sleep_for(milliseconds(10));
        const std::lock_guard guard(mutex_);
        if (is_stopped_) {
            return false;
        }
    }
    return true;
}

std::string store::list(const std::string& after)
{
    const std::lock_guard guard(mutex_);
    std::string items;
    std::size_t count = 0;
    bool is_truncated = false;
    for (auto each = items_.upper_bound(after); each != items_.end(); ++each) {
        if (each->second.is_removed) {
            continue;
        }
        if (count == max_page_items) {
            is_truncated = true;
            break;
        }
        ++count;
        items += (items.empty() ? "" : ",");
        items += R"({"key":")" + each->first + R"(","value":")" +
                 encode_base64(each->second.value) + R"(","revision":)" +
                 std::to_string(each->second.revision) +
                 R"(,"created":1,"lease":0})";
    }
    return R"({"items":[)" + items + R"(],"truncated":)" +
           (is_truncated ? "true" : "false") + R"(,"storeRevision":)" +
           std::to_string(revision_) + "}";
}

std::string store::watch(std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait,
                      [&] { return is_stopped_ || revision_ > after; });
    std::vector<std::pair<std::uint64_t, std::string>> events;
    for (const auto& [key, stored] : items_) {
        if (stored.revision <= after) {
            continue;
        }
        const auto revision = std::to_string(stored.revision);
        events.emplace_back(stored.revision,
                            stored.is_removed
                                ? R"({"key":")" + key + R"(","revision":)" +
                                      revision + R"(,"deleted":true})"
                                : R"({"key":")" + key + R"(","value":")" +
                                      encode_base64(stored.value) +
                                      R"(","revision":)" + revision +
                                      R"(,"created":1,"lease":0})");
    }
    std::sort(events.begin(), events.end());
    std::string text;
    for (const auto& [revision, event] : events) {
        text += (text.empty() ? "" : ",") + event;
    }
    return R"({"events":[)" + text + R"(],"storeRevision":)" +
           std::to_string(revision_) + "}";
}

gateway::gateway(options settings)
    : options_(std::move(settings)), callers_(find_free_endpoint()),
      readiness_(find_free_endpoint()), metrics_(find_free_endpoint())
{
}

gateway::~gateway()
{
    if (process_ > 0) {
        send_signal(SIGKILL);
        ::waitpid(process_, nullptr, 0);
    }
}

void gateway::start()
{
    const auto settings = options_.folder + "/" + options_.name + ".ini";
    std::ofstream file(settings);
    file << "[node]\nid = " << options_.name
         << "\nfailure_domain = " << options_.zone
         << "\nregion = region\ncores = 0.25\nmemory_mb = 260\n"
            "max_descriptors = 4100\nshutdown_grace = 6s\n\n[addresses]\n"
            "callers = "
         << callers_.to_text() << "\nreadiness = " << readiness_.to_text()
         << "\npeers = " << options_.peers.to_text()
         << "\nmetrics = " << metrics_.to_text()
         << "\nstore = " << options_.store.to_text() << "\nseeds = ";
    for (std::size_t index = 0; index < options_.seeds.size(); ++index) {
        file << (index > 0 ? "," : "") << options_.seeds[index].to_text();
    }
    file << "\n\n[fleet]\nspare_nodes = 4\ncaller_delay = 3ms\n"
            "news_age = 3000ms\ndrain_delay = 3000ms\n\n[extra attempts]\n"
            "ratio = 0.2\nallowance = 52\nwindow = 10s\n";
    file.close();
    const auto log = options_.folder + "/" + options_.name + ".log";
    const auto config = "--config=" + settings;
    constexpr auto program = "target/packages/programs/tamarackhoistd";
    process_ = ::fork();
    if (process_ != 0) {
        return;
    }
    const int output =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(program, program, "--role=gateway", config.c_str(), nullptr);
    ::_exit(127);
}

void gateway::send_signal(int number) const
{
    if (process_ > 0) {
        ::kill(process_, number);
    }
}

void gateway::wait_for_end(milliseconds timeout)
{
    const auto end = steady::now() + timeout;
    while (!has_ended() && steady::now() < end) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    if (process_ > 0) {
        send_signal(SIGKILL);
        ::waitpid(process_, nullptr, 0);
        process_ = -1;
    }
}

bool gateway::has_ended()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
        process_ = -1;
    }
    return process_ < 0;
}

bool gateway::is_ready() const
{
    const auto asked = connection::open(readiness_);
    if (asked == nullptr ||
        !asked->send("GET /ready HTTP/1.1\r\nHost: node\r\n\r\n")) {
        return false;
    }
    const auto answer = asked->read(milliseconds(1000));
    return answer && answer->second == "200";
}

bool wait_until_ready(const std::vector<std::unique_ptr<gateway>>& gateways,
                      milliseconds timeout)
{
    const auto end = steady::now() + timeout;
    const auto are_ready = [&] {
        return std::all_of(gateways.begin(), gateways.end(),
                           [](const auto& each) { return each->is_ready(); });
    };
    while (!are_ready()) {
        if (steady::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

scratch_folder::scratch_folder()
{
    auto name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    path_ = ::mkdtemp(name.data()) == nullptr ? std::string(".") : name;
}

scratch_folder::~scratch_folder()
{
    if (path_ != ".") {
        std::filesystem::remove_all(path_);
    }
}

std::string make_entry(const std::string& service, const endpoint& address,
                       const std::string& zone, const std::string& state)
{
    return R"({"service":")" + service + R"(","address":")" +
           address.to_text() + R"(","zone":")" + zone +
           R"(","version":"v1","slots":8,"state":")" + state +
           R"(","warmupLeftMs":0,"sequence":1,"born":1765100000000})";
}

} // namespace review
