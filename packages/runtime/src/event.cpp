#include <tamarackhoist/runtime/event.hpp>

#include <array>
#include <tamarackhoist/runtime/log_line.hpp>

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
    event_description{node_overloaded, warning, "node overloaded"},
    event_description{node_caught_up, information, "node caught up"},
    event_description{node_stops_sending, information, "node stops sending"},
    event_description{caller_request_rejected, warning,
                      "caller request rejected"},
    event_description{request_not_complete, warning, "request not complete"},
    event_description{request_attempted_again, information,
                      "request attempted again"},
    event_description{request_sampled, information, "request sampled"},
    event_description{request_not_executed, warning, "request not executed"},
    event_description{shard_missing, warning, "shard missing"},
    event_description{lines_left_out, warning, "lines left out"},
    event_description{upstream_unreachable, warning, "upstream unreachable"},
    event_description{upstream_draining, information, "upstream draining"},
    event_description{upstream_added, information, "upstream added"},
    event_description{upstream_gone, information, "upstream gone"},
    event_description{upstream_response_rejected, warning,
                      "upstream response rejected"},
    event_description{upstream_paused, information, "upstream paused"},
    event_description{upstream_pause_malformed, warning,
                      "upstream pause malformed"},
    event_description{peer_connection_failed, warning,
                      "peer connection failed"},
    event_description{peer_message_rejected, warning, "peer message rejected"},
    event_description{member_joined, information, "member joined"},
    event_description{member_suspected, warning, "member suspected"},
    event_description{member_left, information, "member left"},
    event_description{domain_lost, warning, "failure domain lost"},
    event_description{domain_regained, information, "failure domain regained"},
    event_description{section_accepted, information, "section accepted"},
    event_description{section_refused, error, "section refused"},
    event_description{routes_in_force, information, "routes in force"},
    event_description{platform_read_failed, warning, "platform read failed"},
    event_description{platform_answer_rejected, warning,
                      "platform answer rejected"},
    event_description{platform_regained, information, "platform regained"},
    event_description{news_role_changed, information, "news role changed"},
    event_description{store_restored, warning, "store restored"},
    event_description{restored_store_listed, information,
                      "restored store listed"},
    event_description{configuration_held_back, warning,
                      "configuration held back"},
    event_description{grace_period_started, information,
                      "grace period started"},
    event_description{ownership_changed, information, "ownership changed"},
    event_description{relay_failed, warning, "relay failed"},
    event_description{request_outcome_unknown, warning,
                      "request outcome unknown"},
};

} // namespace

std::span<const event_description> event_catalogue()
{
    return catalogue;
}

void log_event(event_number number, std::string_view detail)
{
    log_line(number).add("detail", detail);
}

} // namespace tamarackhoist::runtime
