#include <tamarackhoist/node/gateway.hpp>
#include <tamarackhoist/runtime/event.hpp>

/// The part of the gateway that answers readiness checks and reads of the
/// metrics.
namespace tamarackhoist::node
{

namespace http = boost::beast::http;

void gateway::answer_operator(const transport::http_request& request,
                              const transport::http_server::respond& respond)
{
    if (request.target() == "/ready") {
        respond(transport::make_response(
            is_ready() ? http::status::ok : http::status::service_unavailable,
            {}, "text/plain"));
        return;
    }
    if (request.target() == "/metrics") {
        set_gauges();
        respond(transport::make_response(http::status::ok, metrics_.render(),
                                         "text/plain; version=0.0.4"));
        return;
    }
    respond(
        transport::make_response(http::status::not_found, {}, "text/plain"));
}

void gateway::set_gauges()
{
    metrics_.set({"tamarackhoist_upstream_connections", ""},
                 static_cast<double>(pools_.connection_count()));
    metrics_.set({"tamarackhoist_response_memory_bytes", ""},
                 static_cast<double>(pools_.response_memory()));
    metrics_.set({"tamarackhoist_upstreams", ""},
                 static_cast<double>(directory_.size()));
    metrics_.set({"tamarackhoist_configuration_version", ""},
                 routes_ ? static_cast<double>(routes_->version()) : 0.0);
    metrics_.set({"tamarackhoist_ready", ""}, is_ready() ? 1.0 : 0.0);
    metrics_.set({"tamarackhoist_timer_lateness_seconds", ""},
                 runtime::to_seconds(health_.lateness()));
    metrics_.set({"tamarackhoist_lost_failure_domains", ""},
                 static_cast<double>(health_.lost_domain_count()));
    metrics_.set({"tamarackhoist_requests_in_flight", ""},
                 static_cast<double>(callers_->requests_in_flight()));
    metrics_.set({"tamarackhoist_caller_connections", ""},
                 static_cast<double>(callers_->connection_count()));
    metrics_.set({"tamarackhoist_caller_memory_bytes", ""},
                 static_cast<double>(callers_->counted_bytes()));
    metrics_.set({"tamarackhoist_store_calls", ""},
                 static_cast<double>(store_sync_->follower().call_count()));
    metrics_.set({"tamarackhoist_store_revision", ""},
                 static_cast<double>(store_sync_->position().revision()));
    metrics_.set({"tamarackhoist_store_era", ""},
                 static_cast<double>(store_sync_->position().era()));
    metrics_.set({"tamarackhoist_store_restores", ""},
                 static_cast<double>(store_sync_->restore_count()));
    metrics_.set(
        {"tamarackhoist_outdated_store_answers", ""},
        static_cast<double>(store_sync_->follower().outdated_response_count()));
    metrics_.set({"tamarackhoist_outdated_peer_updates", ""},
                 static_cast<double>(store_sync_->outdated_update_count()));
    metrics_.set(
        {"tamarackhoist_malformed_store_eras", ""},
        static_cast<double>(store_sync_->follower().malformed_era_count()));
    metrics_.set({"tamarackhoist_log_lines_dropped", ""},
                 static_cast<double>(runtime::dropped_log_lines()));
    metrics_.set({"tamarackhoist_log_lines_suppressed", ""},
                 static_cast<double>(runtime::suppressed_log_lines()));
    if (const auto confirmed = store_sync_->confirmed_at()) {
        metrics_.set({"tamarackhoist_news_age_seconds", ""},
                     runtime::to_seconds(clock_.now() - *confirmed));
    }
}

} // namespace tamarackhoist::node
