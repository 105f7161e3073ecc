#include "forwarded_request.hpp"

#include "forward_message.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using policy::attempt_key;
using policy::attempt_result;
using policy::forward_outcome;
using runtime::duration;

namespace
{

/// Time for merging and writing an answer.
constexpr duration answer_margin = std::chrono::milliseconds(3);
/// One-way trips between caller and node, seen from the caller: request and
/// answer, and two more to open a connection.
constexpr int trips_on_kept_connection = 2;
constexpr int trips_on_new_connection = 4;
/// One in this many complete requests is logged, chosen by its identity.
constexpr std::uint64_t sampled_one_in = 64;

callers::forward_answer make_own_answer(http::status status)
{
    callers::forward_answer answer;
    answer.status = static_cast<unsigned>(status);
    const auto reason = http::obsolete_reason(status);
    answer.reason.assign(reason.data(), reason.size());
    return answer;
}

} // namespace

callers::forward_answer make_not_executed()
{
    // Callers that were refused together come back apart.
    static thread_local std::minstd_rand random(std::random_device{}());
    constexpr int least_ms = 100;
    constexpr int most_ms = 300;
    std::uniform_int_distribution<int> spread(least_ms, most_ms);
    const auto delay_ms = spread(random);
    auto answer = make_own_answer(http::status::service_unavailable);
    answer.fields.push_back({"Retry-After", "0." + std::to_string(delay_ms)});
    return answer;
}

void forward(const std::shared_ptr<forwarding>& shared,
             std::shared_ptr<const policy::routing_table> routes,
             const policy::route& of,
             std::shared_ptr<callers::forward_exchange> exchange)
{
    std::make_shared<forwarded_request>(shared, std::move(routes), of,
                                        std::move(exchange))
        ->start();
}

forwarded_request::forwarded_request(
    std::shared_ptr<forwarding> shared,
    std::shared_ptr<const policy::routing_table> routes,
    const policy::route& of,
    std::shared_ptr<callers::forward_exchange> exchange)
    : shared_(std::move(shared)), routes_(std::move(routes)), route_(of),
      exchange_(std::move(exchange)), times_(make_times()),
      head_(make_request_head(exchange_->request(), shared_->fields)),
      request_id_(exchange_->request()[shared_->fields.request_id]),
      timer_(shared_->io_context)
{
}

policy::forward_times forwarded_request::make_times() const
{
    const auto received = exchange_->received_at();
    const auto trips = exchange_->is_first_on_connection()
                           ? trips_on_new_connection
                           : trips_on_kept_connection;
    const auto delay = shared_->caller_delay;
    auto allowed = route_.timeout;
    if (const auto left =
            read_time_left(exchange_->request(), shared_->fields)) {
        allowed = std::min(
            allowed, runtime::non_negative(
                         *left - delay * trips_on_kept_connection));
    }
    return {.started = received,
            .on_time_until = received + route_.latency_target -
                             delay * trips - answer_margin,
            .deadline = received + allowed};
}

std::vector<std::string> forwarded_request::choose_services() const
{
    if (route_.is_fan_out()) {
        return route_.shards;
    }
    return {shared_->context.next_service(route_)};
}

void forwarded_request::start()
{
    auto services = choose_services();
    attempts_.resize(services.size());
    auto self = shared_from_this();
    std::weak_ptr<forwarded_request> weak = self;
    exchange_->on_abandoned([weak] {
        if (const auto request = weak.lock()) {
            request->coordinator_->abandon(request->shared_->clock.now());
            request->timer_.cancel();
            request->shared_->metrics.count(
                {"tamarackhoist_requests_abandoned_total", ""});
        }
    });
    // The hooks outlive no call into the coordinator, so they need not keep
    // this object alive.
    coordinator_.emplace(
        shared_->context, shared_->directory, route_, std::move(services),
        times_,
        policy::forward_coordinator::hooks{
            .send = [this](attempt_key key,
                           const policy::upstream_handle& upstream) {
                send(key, upstream);
            },
            .cancel = [this](attempt_key key) { cancel(key); },
            .finish = [this](forward_outcome outcome) { finish(outcome); },
            .decided =
                [this](const policy::attempt_decision& decision) {
                    log_decision(decision);
                }});
    coordinator_->start(shared_->clock.now());
    arm_timer();
}

upstreams::forward_request
forwarded_request::make_request(const std::string& upstream_id) const
{
    using std::chrono::milliseconds;
    const auto left = runtime::non_negative(times_.deadline -
                                            shared_->clock.now());
    const auto left_ms =
        std::max<std::int64_t>(1, std::chrono::ceil<milliseconds>(left).count());
    const auto& fields = shared_->fields;
    upstreams::forward_request request;
    request.request_id = request_id_;
    request.is_head = exchange_->request().method() == http::verb::head;
    auto& bytes = request.bytes;
    bytes.reserve(head_.size() + exchange_->request().body().size() +
                  fields.time_left_ms.size() +
                  fields.expected_upstream.size() + upstream_id.size() + 32);
    bytes.append(head_);
    bytes.append(fields.time_left_ms).append(": ");
    bytes.append(std::to_string(left_ms)).append("\r\n");
    bytes.append(fields.expected_upstream).append(": ");
    bytes.append(upstream_id).append("\r\n\r\n");
    bytes.append(exchange_->request().body());
    return request;
}

void forwarded_request::send(attempt_key key,
                             const policy::upstream_handle& upstream)
{
    auto& attempts = attempts_[key.shard];
    attempts.resize(std::max(attempts.size(), key.attempt + 1));
    auto self = shared_from_this();
    const auto pool = shared_->pool_of(*upstream);
    if (pool == nullptr) {
        boost::asio::post(shared_->io_context, [self, key] {
            self->ended(key, {upstreams::forward_status::not_sent, {}});
        });
        return;
    }
    const auto use = route_.repeat == policy::repeatability::idempotent
                         ? upstreams::connection_use::any
                         : upstreams::connection_use::fresh;
    attempts[key.attempt].pool = pool;
    attempts[key.attempt].ticket = pool->send(
        route_.priority, use,
        [self, id = upstream->registration.id] {
            return self->make_request(id);
        },
        [self, key](upstreams::forward_result result) {
            self->ended(key, std::move(result));
        });
}

void forwarded_request::cancel(attempt_key key)
{
    auto& cancelled = attempts_[key.shard][key.attempt];
    if (const auto pool = cancelled.pool.lock()) {
        pool->cancel(cancelled.ticket);
    }
}

void forwarded_request::ended(attempt_key key,
                              upstreams::forward_result result)
{
    auto outcome = attempt_result::broken;
    switch (result.status) {
    case upstreams::forward_status::answered:
        outcome =
            classify(result.response, shared_->fields, route_.is_fan_out());
        attempts_[key.shard][key.attempt].response =
            std::move(result.response);
        break;
    case upstreams::forward_status::not_sent:
        outcome = attempt_result::not_sent;
        break;
    case upstreams::forward_status::broken:
        break;
    }
    coordinator_->attempt_ended(key, outcome, shared_->clock.now());
    arm_timer();
}

void forwarded_request::arm_timer()
{
    if (coordinator_->is_finished()) {
        timer_.cancel();
        return;
    }
    if (coordinator_->next_wake() == armed_for_) {
        return;
    }
    armed_for_ = coordinator_->next_wake();
    auto self = shared_from_this();
    timer_.expires_after(
        runtime::non_negative(armed_for_ - shared_->clock.now()));
    timer_.async_wait([self](boost::system::error_code error) {
        if (error) {
            return;
        }
        self->armed_for_ = {};
        self->coordinator_->wake(self->shared_->clock.now());
        self->arm_timer();
    });
}

const forwarded_request::running_attempt&
forwarded_request::attempt(attempt_key key) const
{
    return attempts_[key.shard][key.attempt];
}

callers::forward_answer
forwarded_request::make_final_answer(forward_outcome outcome) const
{
    switch (outcome) {
    case forward_outcome::complete:
    case forward_outcome::partial:
        break;
    case forward_outcome::upstream_failure:
        return make_answer(*attempt(*coordinator_->last_failure()).response);
    case forward_outcome::not_executed:
        return make_not_executed();
    case forward_outcome::unknown:
        return make_own_answer(http::status::bad_gateway);
    case forward_outcome::timed_out:
        return make_own_answer(http::status::gateway_timeout);
    }
    if (!route_.is_fan_out()) {
        return make_answer(*attempt(*coordinator_->winner(0)).response);
    }
    std::vector<const transport::http_response*> parts;
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        if (const auto winner = coordinator_->winner(index)) {
            parts.push_back(&*attempt(*winner).response);
        }
    }
    return make_merged_answer(parts, attempts_.size() - parts.size(),
                              route_.top_records, shared_->fields);
}

void forwarded_request::finish(forward_outcome outcome)
{
    timer_.cancel();
    exchange_->respond(make_final_answer(outcome));
    report(outcome);
}

void forwarded_request::log_decision(const policy::attempt_decision& decision)
{
    runtime::log_line(runtime::event_number::request_attempted_again)
        .add("request", request_id_)
        .add("decision", policy::to_string(decision.kind))
        .add("service", decision.service)
        .add("previous", decision.previous)
        .add("chosen", decision.chosen)
        .add("waited_ms", decision.waited)
        .add("hedge_delay_ms", decision.hedge_delay)
        .add("budget_left", decision.budget_left);
}

void forwarded_request::report(forward_outcome outcome)
{
    const auto elapsed = shared_->clock.now() - times_.started;
    const auto labels = "route=\"" + route_.name + "\",outcome=\"" +
                        policy::to_string(outcome) + "\"";
    auto& metrics = shared_->metrics;
    const auto& counts = coordinator_->counts();
    metrics.count({"tamarackhoist_requests_total", labels});
    metrics.observe(
        {"tamarackhoist_request_seconds", "route=\"" + route_.name + "\""},
        elapsed);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"first\""},
                  counts.attempts - counts.hedges - counts.retries);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"hedge\""},
                  counts.hedges);
    metrics.count({"tamarackhoist_attempts_total", "kind=\"retry\""},
                  counts.retries);
    metrics.count({"tamarackhoist_attempts_denied_total", ""},
                  counts.denied_by_budget);
    if (outcome == forward_outcome::complete) {
        if (policy::hash_text(request_id_) % sampled_one_in == 0) {
            log_outcome(runtime::event_number::request_sampled, outcome,
                        elapsed);
        }
        return;
    }
    log_outcome(outcome == forward_outcome::not_executed
                    ? runtime::event_number::request_not_executed
                    : runtime::event_number::request_not_complete,
                outcome, elapsed);
    log_missing_shards();
}

void forwarded_request::log_outcome(runtime::event_number number,
                                    forward_outcome outcome,
                                    duration elapsed) const
{
    const auto& counts = coordinator_->counts();
    runtime::log_line(number)
        .add("request", request_id_)
        .add("route", route_.name)
        .add("version", routes_->version())
        .add("outcome", policy::to_string(outcome))
        .add("answered", coordinator_->answered_count())
        .add("shards", coordinator_->shard_count())
        .add("attempts", counts.attempts)
        .add("hedges", counts.hedges)
        .add("retries", counts.retries)
        .add("denied_by_budget", counts.denied_by_budget)
        .add("elapsed_ms", elapsed)
        .add("on_time_within_ms", times_.on_time_until - times_.started)
        .add("deadline_ms", times_.deadline - times_.started);
}

void forwarded_request::log_missing_shards() const
{
    for (std::size_t index = 0; index < attempts_.size(); ++index) {
        if (coordinator_->winner(index)) {
            continue;
        }
        const auto last = coordinator_->last_attempt(index);
        runtime::log_line(runtime::event_number::shard_missing)
            .add("request", request_id_)
            .add("service", coordinator_->service(index))
            .add("attempts", last.count)
            .add("upstream", last.upstream)
            .add("result", last.result)
            .add("ready_upstreams",
                 shared_->directory.ready(coordinator_->service(index)).size());
    }
}

} // namespace tamarackhoist::node
