#include <tamarackhoist/runtime/event.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <string>

namespace tamarackhoist::runtime
{

namespace
{

using enum event_number;
using enum severity;

constexpr std::array catalogue{
    event_description{node_started, information, "node started"},
    event_description{node_ready, information, "node ready"},
    event_description{node_leaving, information, "node leaving"},
    event_description{node_stopped, information, "node stopped"},
    event_description{resumed_after_pause, warning, "resumed after pause"},
    event_description{settings_changed, information, "settings changed"},
    event_description{caller_request_rejected, warning,
                      "caller request rejected"},
    event_description{request_not_complete, warning, "request not complete"},
    event_description{upstream_unreachable, warning, "upstream unreachable"},
    event_description{upstream_draining, information, "upstream draining"},
    event_description{upstream_added, information, "upstream added"},
    event_description{upstream_gone, information, "upstream gone"},
    event_description{peer_connection_failed, warning,
                      "peer connection failed"},
    event_description{peer_message_rejected, warning, "peer message rejected"},
    event_description{member_joined, information, "member joined"},
    event_description{member_suspected, warning, "member suspected"},
    event_description{member_left, information, "member left"},
    event_description{section_accepted, information, "section accepted"},
    event_description{section_refused, error, "section refused"},
    event_description{routes_in_force, information, "routes in force"},
    event_description{platform_read_failed, warning, "platform read failed"},
    event_description{platform_answer_rejected, warning,
                      "platform answer rejected"},
    event_description{platform_regained, information, "platform regained"},
    event_description{ownership_changed, information, "ownership changed"},
    event_description{request_outcome_unknown, warning,
                      "request outcome unknown"},
};

log4cxx::LevelPtr level_of(severity value)
{
    switch (value) {
    case information:
        return log4cxx::Level::getInfo();
    case warning:
        return log4cxx::Level::getWarn();
    case error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

bool& is_log_configured()
{
    static bool value = false;
    return value;
}

} // namespace

std::span<const event_description> event_catalogue()
{
    return catalogue;
}

void log_event(event_number number, std::string_view detail)
{
    if (!is_log_configured()) {
        return;
    }
    const auto* entry = std::find_if(
        catalogue.begin(), catalogue.end(),
        [&](const event_description& each) { return each.number == number; });
    assert(entry != catalogue.end());
    static const auto logger = log4cxx::Logger::getLogger("tamarackhoist");
    std::string text = "E" + std::to_string(static_cast<int>(number)) + " ";
    text.append(entry->name).append(": ").append(detail);
    logger->log(level_of(entry->level), text, LOG4CXX_LOCATION);
}

void configure_log()
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "%d{yyyy-MM-ddTHH:mm:ss.SSS} %-5p %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    is_log_configured() = true;
}

} // namespace tamarackhoist::runtime
