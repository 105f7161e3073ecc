#include <tamarackhoist/node/gateway.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <tamarackhoist/policy/forward_memory.hpp>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using namespace std::chrono_literals;
using runtime::duration;
using runtime::event_number;
using runtime::log_event;

namespace
{

constexpr duration shutdown_check_interval = 50ms;
/// Divides the memory of the process into the part that unfinished responses
/// of upstreams may hold.
constexpr std::size_t response_memory_divisor = 8;
/// Divides the memory of the process into the part that callers' requests may
/// hold together, and the same for answers that they don't read.
constexpr std::size_t caller_memory_divisor = 8;
/// Divides the memory of the process into the part that calls of other nodes
/// to this node as a relay may hold together.
constexpr std::size_t relay_memory_divisor = 8;
/// Memory of the process for each connection of a caller.
constexpr std::size_t memory_per_caller = 64 * 1024;
/// Divides the descriptors of the process into the part that connections of
/// callers may take. The rest is for upstreams, other nodes, operators and
/// files.
constexpr std::size_t caller_descriptor_divisor = 2;

/// Limits of the servers for readiness checks and metrics, whose requests are
/// few and have no body.
constexpr transport::http_server_limits operator_limits = {
    .max_header_bytes = 8 * 1024,
    .max_body_bytes = 0,
    .max_connections = 32,
    .read_timeout = std::chrono::seconds(10)};

policy::connection_limiter::limits
make_caller_limits(const gateway_settings& settings)
{
    return {.max_connections =
                std::min(settings.max_descriptors / caller_descriptor_divisor,
                         settings.memory / memory_per_caller),
            .max_request_bytes = settings.memory / caller_memory_divisor,
            .max_answer_bytes = settings.memory / caller_memory_divisor};
}

callers::forward_answer make_not_found()
{
    return {
        static_cast<unsigned>(http::status::not_found), "Not Found", {}, {}};
}

std::uint32_t to_millicores(double cores)
{
    constexpr double thousand = 1000.0;
    return static_cast<std::uint32_t>(cores * thousand);
}

std::string_view strip_query(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

runtime::result<std::unique_ptr<gateway>, std::string>
gateway::create(gateway_settings settings, runtime::clock clock,
                adapter platform_adapter)
{
    std::unique_ptr<gateway> created(new gateway(
        std::move(settings), std::move(clock), std::move(platform_adapter),
        runtime::microseconds_since_epoch()));
    BOOST_OUTCOME_TRY(created->listen());
    return created;
}

gateway::gateway(gateway_settings settings, runtime::clock clock,
                 adapter platform_adapter, std::uint64_t incarnation)
    : settings_(std::move(settings)), clock_(std::move(clock)),
      incarnation_(incarnation),
      random_(static_cast<std::minstd_rand::result_type>(
          policy::hash_text(settings_.name))),
      directory_(make_directory_observer()),
      context_(settings_.failure_domain,
               {.ratio = settings_.extra_attempt_ratio,
                .allowance = 0.0,
                .window = settings_.extra_attempt_window},
               policy::hash_text(settings_.name), clock_.now()),
      health_(io_context_, clock_, settings_.failure_domain),
      pools_(io_context_, clock_,
             {.failure_domain = settings_.failure_domain,
              .spare_nodes = settings_.spare_nodes,
              .request_id_field = platform_adapter.fields.request_id,
              .max_response_memory = settings_.memory / response_memory_divisor,
              .on_head =
                  [this](policy::tracked_upstream& upstream,
                         const transport::http_response& head) {
                      handle_head(upstream, head);
                  }},
             metrics_),
      decode_(std::move(platform_adapter.decode)),
      relay_client_(settings_.failure_domain, to_millicores(settings_.cores),
                    incarnation, clock_, health_.reach()),
      expiry_timer_(io_context_), shutdown_timer_(io_context_),
      shutdown_schedule_(settings_.shutdown_grace)
{
    forwarding_ = std::make_shared<forwarding>(forwarding{
        io_context_, clock_, std::move(platform_adapter.fields),
        settings_.caller_delay, context_, directory_, health_.reach(), metrics_,
        [this](const std::string& upstream) { return pools_.find(upstream); },
        &relay_client_});
    relay_server_.emplace(forwarding_, settings_.memory / relay_memory_divisor);
    store_sync_.emplace(
        io_context_, clock_,
        platform_adapter.make_store(io_context_, settings_.store),
        policy::news_role::options::for_deadline(
            std::min(settings_.max_configuration_age, settings_.drain_delay)),
        policy::hash_text(settings_.name), make_store_sync_hooks());
}

gateway::~gateway() = default;

runtime::result<void, std::string> gateway::listen()
{
    BOOST_OUTCOME_TRY(
        callers_,
        callers::forward_server::create(
            io_context_, clock_,
            {settings_.callers, make_caller_limits(settings_),
             [] {
                 auto refusal = make_not_executed_answer();
                 refusal.ends_connection = true;
                 return refusal;
             }},
            [this] {
                return routes_ ? routes_->limits() : policy::request_limits();
            },
            [this](std::shared_ptr<callers::forward_exchange> exchange) {
                handle_request(std::move(exchange));
            }));
    BOOST_OUTCOME_TRY(peers_,
                      peer_group::create(io_context_, clock_, metrics_,
                                         make_own_member(), settings_.seeds,
                                         make_peer_group_hooks()));
    relay_client_.start(*peers_);
    const auto answer = [this](const transport::http_request& request,
                               const transport::http_server::respond& respond) {
        answer_operator(request, respond);
    };
    BOOST_OUTCOME_TRY(readiness_,
                      transport::http_server::create(io_context_.get_executor(),
                                                     settings_.readiness,
                                                     operator_limits, answer));
    BOOST_OUTCOME_TRY(metrics_server_,
                      transport::http_server::create(io_context_.get_executor(),
                                                     settings_.metrics,
                                                     operator_limits, answer));
    return boost::outcome_v2::success();
}

void gateway::run()
{
    log_event(event_number::node_started,
              settings_.name + " in " + settings_.failure_domain);
    callers_->start();
    readiness_->start();
    metrics_server_->start();
    peers_->start();
    store_sync_->start(*peers_);
    health_.start(*peers_, [this] { return is_cut_off(); });
    io_context_.run();
    log_event(event_number::node_stopped, settings_.name);
}

void gateway::shut_down()
{
    boost::asio::post(io_context_, [this] {
        if (shutdown_at_) {
            return;
        }
        log_event(event_number::node_leaving,
                  settings_.name + " in flight " +
                      std::to_string(callers_->requests_in_flight()));
        shutdown_at_ = clock_.now();
        callers_->start_draining();
        peers_->leave();
        continue_shutdown();
    });
}

void gateway::log_settings_change()
{
    boost::asio::post(io_context_, [this] {
        log_event(event_number::settings_changed, settings_.name);
    });
}

void gateway::continue_shutdown()
{
    using policy::shutdown_phase;
    const auto phase =
        shutdown_schedule_.phase_at(clock_.now() - *shutdown_at_);
    if (phase >= shutdown_phase::forwarding) {
        callers_->close_idle();
    }
    if (phase >= shutdown_phase::awaiting_answers) {
        stop_sending();
    }
    if (phase >= shutdown_phase::ending_requests) {
        end_requests(*forwarding_);
    }
    const bool is_idle = callers_->requests_in_flight() == 0 &&
                         relay_server_->open_call_count() == 0;
    if (phase == shutdown_phase::over ||
        (is_idle && phase > shutdown_phase::accepting)) {
        io_context_.stop();
        return;
    }
    shutdown_timer_.expires_after(shutdown_check_interval);
    shutdown_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            continue_shutdown();
        }
    });
}

void gateway::stop_sending()
{
    if (std::exchange(is_sending_stopped_, true)) {
        return;
    }
    runtime::log_line(event_number::node_stops_sending)
        .add("requests", callers_->requests_in_flight())
        .add("relayed_calls", relay_server_->open_call_count());
    pools_.stop();
}

bool gateway::is_ready() const
{
    return routes_ != nullptr && has_snapshot_ && !shutdown_at_ &&
           !is_cut_off() && !health_.is_overloaded();
}

bool gateway::is_cut_off() const
{
    return routes_ != nullptr && health_.is_cut_off(*routes_, directory_);
}

bool gateway::has_recent_configuration() const
{
    if (held_back_version_ || clock_.now() < store_settles_at_) {
        return false;
    }
    const auto confirmed = store_sync_->confirmed_at();
    return confirmed &&
           clock_.now() - *confirmed <= settings_.max_configuration_age;
}

void gateway::handle_request(
    std::shared_ptr<callers::forward_exchange> exchange)
{
    const auto& request = exchange->request();
    if (is_sending_stopped_) {
        refuse(*exchange, "the node is stopping");
        return;
    }
    if (routes_ == nullptr) {
        refuse(*exchange, "no configuration is known yet");
        return;
    }
    const auto host = request[http::field::host];
    const auto target = request.target();
    const auto* route =
        routes_->find({host.data(), host.size()},
                      strip_query({target.data(), target.size()}));
    const auto now = clock_.now();
    auto& reach = health_.reach();
    if (route != nullptr && !reach.can_cover(*route, directory_, now) &&
        !reach.try_start_probe(now)) {
        refuse(*exchange, "too few shards are reachable");
        return;
    }
    if (route != nullptr && !exchange->try_hold(policy::estimate_forward_memory(
                                *route, transport::count_field_bytes(request) +
                                            request.body().size()))) {
        refuse(*exchange, "too many requests are in progress");
        return;
    }
    if (route != nullptr) {
        forward(forwarding_, routes_, *route, std::move(exchange));
        return;
    }
    // With an outdated configuration, the route may have been added meanwhile.
    const bool is_up_to_date = has_recent_configuration();
    metrics_.count({"tamarackhoist_unknown_route_total", ""});
    log_refusal(
        request,
        is_up_to_date
            ? "no route matches"
            : "no route matches, and the configuration may be outdated");
    exchange->respond(is_up_to_date ? make_not_found()
                                    : make_not_executed_answer());
}

void gateway::refuse(callers::forward_exchange& exchange,
                     std::string_view reason)
{
    log_refusal(exchange.request(), reason);
    auto answer = make_not_executed_answer();
    answer.ends_connection = true;
    exchange.respond(std::move(answer));
}

void gateway::log_refusal(const transport::http_request& request,
                          std::string_view reason) const
{
    const auto id = request[forwarding_->fields.request_id];
    const auto target = request.target();
    runtime::log_line line(event_number::request_not_executed);
    line.add("request", std::string_view(id.data(), id.size()))
        .add("reason", reason)
        .add("target", std::string_view(target.data(), target.size()))
        .add("version", routes_ ? routes_->version() : 0)
        .add("store_era", store_sync_->position().era())
        .add("store_revision", store_sync_->position().revision());
    if (const auto confirmed = store_sync_->confirmed_at()) {
        line.add("news_age_ms", clock_.now() - *confirmed);
    }
}

peers::member gateway::make_own_member() const
{
    peers::member self;
    self.name = settings_.name;
    self.endpoint = settings_.peers;
    self.failure_domain = settings_.failure_domain;
    self.region = settings_.region;
    self.incarnation = incarnation_;
    self.capacity = to_millicores(settings_.cores);
    return self;
}

peer_group::hooks gateway::make_peer_group_hooks()
{
    return {.on_change = [this] { update_members(); },
            .on_call =
                [this](const std::shared_ptr<peers::incoming_call>& call) {
                    handle_call(call);
                },
            .on_gossip_received =
                [this](std::string_view failure_domain) {
                    health_.reach().record_contact(failure_domain);
                },
            // A hint that the whole domain may be lost, which pings then
            // confirm. It also reaches nodes that get few requests.
            .on_suspected =
                [this](std::string_view failure_domain) {
                    health_.reach().record_missed_contact(failure_domain,
                                                          clock_.now());
                }};
}

void gateway::handle_call(const std::shared_ptr<peers::incoming_call>& call)
{
    switch (call->path()) {
    case peers::call_path::relay:
    case peers::call_path::relay_cancel:
        relay_server_->handle_call(call);
        return;
    case peers::call_path::store_pull:
    case peers::call_path::store_push:
        store_sync_->handle_call(call);
        return;
    default:
        log_event(event_number::peer_message_rejected,
                  "call " + std::string(peers::to_path(call->path())) +
                      " is not supported by a gateway");
        call->finish();
        return;
    }
}

void gateway::update_members()
{
    if (peers_ == nullptr) {
        return;
    }
    std::map<std::string, std::size_t, std::less<>> nodes;
    nodes[settings_.failure_domain] = 1;
    for (const auto& each : peers_->live_peers()) {
        ++nodes[each.failure_domain];
    }
    context_.set_allowance(policy::allowance_share(
        settings_.extra_attempt_allowance, peers_->remaining_peer_count() + 1,
        settings_.spare_nodes));
    health_.reach().set_own_domain_nodes(nodes[settings_.failure_domain]);
    relay_client_.update_members();
    pools_.set_live_nodes(
        std::move(nodes),
        relay_client_.choose_relay(settings_.failure_domain, 1).has_value());
    store_sync_->update_members();
}

} // namespace tamarackhoist::node
