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

/// Lines of one event that a node writes in any second at most.
constexpr std::uint32_t max_lines_per_second = 40;
constexpr duration rate_window = std::chrono::seconds(1);
constexpr int flush_patience_ms = 200;

/// Lines of one event within the current second.
struct event_rate {
    time_point window_start{};
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
};

struct log_state {
    std::string node;
    std::shared_ptr<log_queue> queue = std::make_shared<log_queue>();
    std::mutex mutex;
    std::map<event_number, event_rate> rates;
    std::atomic<std::uint64_t> suppressed{0};
};

/// Set once, when logging is configured; lives until the process ends, since
/// the writing thread may be stuck in a write then.
std::atomic<log_state*> state{nullptr};

const event_description& describe(event_number number)
{
    const auto catalogue = event_catalogue();
    const auto found = std::find_if(
        catalogue.begin(), catalogue.end(),
        [&](const event_description& each) { return each.number == number; });
    assert(found != catalogue.end());
    return *found;
}

log4cxx::LevelPtr level_of(severity value)
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

std::string quoted(std::string_view text)
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
    std::uint64_t left_out = 0;
    {
        const std::lock_guard guard(configured->mutex);
        auto& rate = configured->rates[number];
        if (now - rate.window_start >= rate_window) {
            left_out = std::exchange(rate.left_out, 0);
            rate.window_start = now;
            rate.written = 0;
        }
        if (rate.written >= max_lines_per_second) {
            ++rate.left_out;
            configured->suppressed.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        ++rate.written;
    }
    if (left_out > 0) {
        write(event_number::lines_left_out,
              ",\"of_event\":" + std::to_string(static_cast<int>(number)) +
                  ",\"lines\":" + std::to_string(left_out));
    }
    return true;
}

void log_output::write(event_number number, std::string_view members)
{
    auto* configured = state.load(std::memory_order_acquire);
    if (configured == nullptr) {
        return;
    }
    const auto& description = describe(number);
    static const auto logger = log4cxx::Logger::getLogger("tamarackhoist");
    std::string text = "\"node\":" + configured->node + ",\"event\":\"E" +
                       std::to_string(static_cast<int>(number)) +
                       "\",\"name\":" + quoted(description.name);
    text.append(members);
    logger->log(level_of(description.level), text, LOG4CXX_LOCATION);
}

void configure_log(std::string_view node)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}\",\"level\":\"%p\",%m}%n");
    // Never freed: see `state`.
    auto* configured = new log_state;
    configured->node = quoted(node);
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
        configured->queue->flush(flush_patience_ms);
    }
}

std::uint64_t dropped_log_lines()
{
    auto* configured = state.load(std::memory_order_acquire);
    return configured != nullptr ? configured->queue->dropped() : 0;
}

std::uint64_t suppressed_log_lines()
{
    auto* configured = state.load(std::memory_order_acquire);
    return configured != nullptr ? configured->suppressed.load() : 0;
}

} // namespace tamarackhoist::runtime
