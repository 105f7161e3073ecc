#include "log_output.hpp"

#include "bounded_appender.hpp"
#include <algorithm>
#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <cassert>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <map>
#include <string>
#include <tamarackhoist/runtime/clock.hpp>
#include <thread>
#include <unistd.h>

namespace tamarackhoist::runtime
{

namespace
{

/// Maximum number of lines of one event in a rate window.
constexpr std::uint32_t max_lines_per_window = 40;
constexpr duration rate_window = std::chrono::seconds(1);
constexpr int flush_timeout_ms = 200;

/// Number of written and suppressed lines of one event in the current rate
/// window.
struct event_rate {
    time_point window_start{};
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

struct log_state {
    std::string node;
    std::shared_ptr<log_queue> queue = std::make_shared<log_queue>();
    std::mutex mutex;
    std::map<event_number, event_rate> rates;
    std::atomic<std::uint64_t> suppressed{0};
};

/// Set once, when logging is configured. Never freed, since the writing thread
/// may still be blocked in a write when the process exits.
std::atomic<log_state*> state{nullptr};

const event_description& find_description(event_number number)
{
    const auto catalogue = event_catalogue();
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
                                    [&](const event_description& description) {
                                        return description.number == number;
                                    });
    assert(found != catalogue.end());
    return *found;
}

log4cxx::LevelPtr to_log4cxx_level(severity value)
{
    switch (value) {
    case severity::information:
        return log4cxx::Level::getInfo();
    case severity::warning:
        return log4cxx::Level::getWarn();
    case severity::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

std::string to_json_string(std::string_view text)
{
    return boost::json::serialize(
        boost::json::string_view(text.data(), text.size()));
}

} // namespace

bool log_output::admit(event_number number)
{
    auto* configured = state.load(std::memory_order_acquire);
    if (configured == nullptr) {
        return false;
    }
    static const auto time = clock::boot();
    const auto now = time.now();
    std::uint64_t suppressed = 0;
    {
        const std::lock_guard guard(configured->mutex);
        auto& rate = configured->rates[number];
        if (now - rate.window_start >= rate_window) {
            suppressed = std::exchange(rate.suppressed, 0);
            rate.window_start = now;
            rate.written = 0;
        }
        if (rate.written >= max_lines_per_window) {
            ++rate.suppressed;
            configured->suppressed.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        ++rate.written;
    }
    if (suppressed > 0) {
        write(event_number::lines_left_out,
              ",\"of_event\":" + std::to_string(static_cast<int>(number)) +
                  ",\"lines\":" + std::to_string(suppressed));
    }
    return true;
}

void log_output::write(event_number number, std::string_view members)
{
    auto* configured = state.load(std::memory_order_acquire);
    if (configured == nullptr) {
        return;
    }
    const auto& description = find_description(number);
    static const auto logger = log4cxx::Logger::getLogger("tamarackhoist");
    std::string text = "\"node\":" + configured->node + ",\"event\":\"E" +
                       std::to_string(static_cast<int>(number)) +
                       "\",\"name\":" + to_json_string(description.name);
    text.append(members);
    logger->log(to_log4cxx_level(description.level), text, LOG4CXX_LOCATION);
}

void configure_log(std::string_view node)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}\",\"level\":\"%p\",%m}%n");
    // Never freed, see `state`.
    auto* configured = new log_state;
    configured->node = to_json_string(node);
    std::thread([queue = configured->queue] {
        queue->write_to(STDOUT_FILENO);
    }).detach();
    log4cxx::BasicConfigurator::configure(log4cxx::AppenderPtr(
        std::make_shared<bounded_appender>(layout, configured->queue)));
    state.store(configured, std::memory_order_release);
}

void flush_log()
{
    if (auto* configured = state.load(std::memory_order_acquire)) {
        configured->queue->flush(flush_timeout_ms);
    }
}

std::uint64_t dropped_log_lines()
{
    auto* configured = state.load(std::memory_order_acquire);
    return configured != nullptr ? configured->queue->dropped_lines() : 0;
}

std::uint64_t suppressed_log_lines()
{
    auto* configured = state.load(std::memory_order_acquire);
    return configured != nullptr ? configured->suppressed.load() : 0;
}

} // namespace tamarackhoist::runtime
