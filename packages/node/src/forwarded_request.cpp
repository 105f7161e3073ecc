#include "forwarded_request.hpp"

#include "forward_message.hpp"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <tamarackhoist/policy/record_merge.hpp>

namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using policy::attempt_key;
using policy::attempt_result;
using policy::forward_outcome;
using runtime::duration;

namespace
{

/// Shards in one call to a relay. Larger parts of a fan-out are split among
/// several relays.
constexpr std::size_t max_shards_per_call = 24;
/// Returns seconds with three decimals.
std::string format_seconds(duration time)
{
    const auto all_ms =
        std::chrono::ceil<std::chrono::milliseconds>(time).count();
    constexpr std::int64_t ms_per_second = 1000;
    const auto fraction =
        std::to_string(ms_per_second + all_ms % ms_per_second);
    return std::to_string(all_ms / ms_per_second) + "." + fraction.substr(1);
}

callers::forward_answer make_status_answer(http::status status)
{
    callers::forward_answer answer;
    answer.status = static_cast<unsigned>(status);
    const auto reason = http::obsolete_reason(status);
    answer.reason.assign(reason.data(), reason.size());
    return answer;
}

} // namespace

callers::forward_answer make_not_executed_answer(duration earliest_return)
{
    // Jitter spreads the retries of callers that were refused together.
    static thread_local std::minstd_rand random(std::random_device{}());
    constexpr int min_retry_after_ms = 100;
    constexpr int max_retry_after_ms = 300;
    std::uniform_int_distribution<int> spread(min_retry_after_ms,
                                              max_retry_after_ms);
    const auto delay =
        earliest_return + std::chrono::milliseconds(spread(random));
    auto answer = make_status_answer(http::status::service_unavailable);
    answer.fields.push_back({"Retry-After", format_seconds(delay)});
    return answer;
}

void forward(const std::shared_ptr<forwarding>& shared,
             std::shared_ptr<const policy::routing_table> routes,
             const policy::route& route,
             std::shared_ptr<callers::forward_exchange> exchange)
{
    std::make_shared<forwarded_request>(shared, std::move(routes), route,
                                        std::move(exchange))
        ->start();
}

void end_requests(const forwarding& shared)
{
    // Answering a request may destroy others, which then leave the set.
    std::vector<std::shared_ptr<forwarded_request>> requests;
    requests.reserve(shared.requests.size());
    for (auto* each : shared.requests) {
        requests.push_back(each->shared_from_this());
    }
    for (const auto& each : requests) {
        each->end_early();
    }
}

forwarded_request::forwarded_request(
    std::shared_ptr<forwarding> shared,
    std::shared_ptr<const policy::routing_table> routes,
    const policy::route& route,
    std::shared_ptr<callers::forward_exchange> exchange)
    : shared_(std::move(shared)), routes_(std::move(routes)), route_(route),
      exchange_(std::move(exchange)), times_(compute_times()),
      request_head_(make_request_head(exchange_->request(), shared_->fields)),
      request_id_(exchange_->request()[shared_->fields.request_id]),
      summary_{request_id_, route_.name, routes_->version(), times_},
      wake_timer_(shared_->io_context), relay_timer_(shared_->io_context),
      answers_(route_.shards.size())
{
    shared_->requests.insert(this);
}

forwarded_request::~forwarded_request()
{
    shared_->requests.erase(this);
}

policy::forward_times forwarded_request::compute_times() const
{
    return policy::compute_forward_times(
        route_, {.received = exchange_->received_at(),
                 .delay = shared_->caller_delay,
                 .is_first_on_connection = exchange_->is_first_on_connection(),
                 .time_left = read_caller_timeout(exchange_->request(),
                                                  shared_->fields)});
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
            request->apply_decisions();
            request->shared_->metrics.count(
                {"tamarackhoist_requests_abandoned_total", ""});
        }
    });
    // The coordinator calls the hooks only from within calls to it, so they
    // need not keep this object alive.
    coordinator_.emplace(
        shared_->context, shared_->directory, route_, std::move(services),
        times_,
        policy::forward_coordinator::hooks{
            .send =
                [this](attempt_key key,
                       const policy::upstream_handle& upstream) {
                    auto& attempts = attempts_[key.shard];
                    attempts.resize(std::max(attempts.size(), key.attempt + 1));
                    const auto& registration = upstream->registration;
                    outbox_.push_back(
                        {key, registration.id, registration.failure_domain});
                },
            .cancel = [this](attempt_key key) { cancel(key); },
            .finish = [this](forward_outcome outcome) { finish(outcome); },
            .report_decision =
                [this](const policy::attempt_decision& decision) {
                    log_decision(request_id_, decision);
                }});
    coordinator_->start(shared_->clock.now());
    apply_decisions();
}

void forwarded_request::end_early()
{
    coordinator_->end_early(shared_->clock.now());
    apply_decisions();
}

void forwarded_request::apply_decisions()
{
    flush_cancellations();
    flush_outbox();
    arm_wake_timer();
}

void forwarded_request::flush_outbox()
{
    auto outgoing = std::exchange(outbox_, {});
    if (coordinator_->is_finished()) {
        return;
    }
    if (!route_.is_fan_out() || shared_->relays == nullptr) {
        for (const auto& each : outgoing) {
            send_directly(each);
        }
        return;
    }
    std::stable_sort(
        outgoing.begin(), outgoing.end(),
        [](const outgoing_attempt& left, const outgoing_attempt& right) {
            return left.failure_domain < right.failure_domain;
        });
    const std::span<const outgoing_attempt> all(outgoing);
    std::size_t begin = 0;
    while (begin < all.size()) {
        const auto end = std::find_if(
            all.begin() + static_cast<std::ptrdiff_t>(begin), all.end(),
            [&](const outgoing_attempt& each) {
                return each.failure_domain != all[begin].failure_domain;
            });
        const auto size = static_cast<std::size_t>(end - all.begin()) - begin;
        send_to_domain(all.subspan(begin, size));
        begin += size;
    }
    is_first_batch_ = false;
}

void forwarded_request::send_to_domain(
    std::span<const outgoing_attempt> attempts)
{
    const auto calls =
        (attempts.size() + max_shards_per_call - 1) / max_shards_per_call;
    for (std::size_t call = 0; call < calls; ++call) {
        const auto begin = attempts.size() * call / calls;
        const auto end = attempts.size() * (call + 1) / calls;
        const auto part = attempts.subspan(begin, end - begin);
        const auto relay = shared_->relays->choose_relay(
            part.front().failure_domain, part.size());
        if (relay) {
            send_via_relay(*relay, part);
            continue;
        }
        for (const auto& each : part) {
            send_directly(each);
        }
    }
}

void forwarded_request::send_directly(const outgoing_attempt& outgoing)
{
    const auto key = outgoing.key;
    auto self = shared_from_this();
    const auto pool = shared_->find_pool(outgoing.upstream);
    if (pool == nullptr) {
        boost::asio::post(shared_->io_context, [self, key] {
            self->handle_result(key, {upstreams::forward_status::not_sent, {}});
        });
        return;
    }
    const auto use = route_.repeat == policy::repeatability::idempotent
                         ? upstreams::connection_use::any
                         : upstreams::connection_use::fresh;
    auto& running = find_attempt(key);
    running.pool = pool;
    running.ticket = pool->send(
        route_.priority, use,
        [self, id = outgoing.upstream] {
            const auto& request = self->exchange_->request();
            return make_forward_request(
                {self->request_head_, request.body(), self->request_id_,
                 request.method() == http::verb::head},
                id, self->times_.deadline - self->shared_->clock.now(),
                self->shared_->fields);
        },
        [self, key,
         domain = outgoing.failure_domain](upstreams::forward_result result) {
            self->record_reachability(domain, result.status);
            self->handle_result(key, std::move(result));
        });
}

void forwarded_request::record_reachability(const std::string& failure_domain,
                                            upstreams::forward_status status)
{
    switch (status) {
    case upstreams::forward_status::answered:
        shared_->reach.record_contact(failure_domain);
        return;
    case upstreams::forward_status::not_sent:
    case upstreams::forward_status::broken:
        shared_->reach.record_missed_contact(failure_domain,
                                             shared_->clock.now());
        return;
    case upstreams::forward_status::withheld:
        shared_->metrics.count({"tamarackhoist_requests_withheld_total", ""});
        return;
    }
}

void forwarded_request::cancel(attempt_key key)
{
    auto& cancelled = find_attempt(key);
    if (cancelled.relay_call) {
        cancellations_[*cancelled.relay_call].push_back(
            static_cast<std::uint32_t>(key.shard));
        return;
    }
    if (const auto pool = cancelled.pool.lock()) {
        pool->cancel(cancelled.ticket);
    }
}

void forwarded_request::flush_cancellations()
{
    for (auto& [call, shards] : std::exchange(cancellations_, {})) {
        if (!relay_calls_[call].is_closed) {
            shared_->relays->cancel(relay_calls_[call].id, std::move(shards));
        }
    }
}

void forwarded_request::handle_result(attempt_key key,
                                      upstreams::forward_result result)
{
    const auto outcome = classify(result, shared_->fields, route_.is_fan_out());
    if (!route_.is_fan_out()) {
        find_attempt(key).response = std::move(result.response);
    } else if (outcome == attempt_result::answered) {
        answers_.add(
            key.shard, std::string(result.response[shared_->fields.digest]),
            policy::keep_greatest_records(std::move(result.response.body()),
                                          route_.top_records));
    }
    coordinator_->record_attempt_end(key, outcome, shared_->clock.now());
    apply_decisions();
}

void forwarded_request::arm_wake_timer()
{
    if (coordinator_->is_finished()) {
        wake_timer_.cancel();
        relay_timer_.cancel();
        return;
    }
    if (coordinator_->next_wake() == armed_wake_time_) {
        return;
    }
    armed_wake_time_ = coordinator_->next_wake();
    auto self = shared_from_this();
    wake_timer_.expires_after(
        runtime::non_negative(armed_wake_time_ - shared_->clock.now()));
    wake_timer_.async_wait([self](boost::system::error_code error) {
        if (error) {
            return;
        }
        self->armed_wake_time_ = {};
        self->coordinator_->wake(self->shared_->clock.now());
        self->apply_decisions();
    });
}

forwarded_request::running_attempt&
forwarded_request::find_attempt(attempt_key key)
{
    return attempts_[key.shard][key.attempt];
}

const forwarded_request::running_attempt&
forwarded_request::find_attempt(attempt_key key) const
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
        return make_answer(
            *find_attempt(*coordinator_->last_failure()).response);
    case forward_outcome::not_executed:
        return make_not_executed_answer(time_until_return());
    case forward_outcome::unknown:
        return make_status_answer(http::status::bad_gateway);
    case forward_outcome::timed_out:
        return make_status_answer(http::status::gateway_timeout);
    }
    if (!route_.is_fan_out()) {
        return make_answer(*find_attempt(*coordinator_->winner(0)).response);
    }
    const auto merged = answers_.collect();
    return make_merged_answer(merged, attempts_.size() - merged.digests.size(),
                              route_.top_records, shared_->fields);
}

duration forwarded_request::time_until_return() const
{
    const auto now = shared_->clock.now();
    std::optional<runtime::time_point> earliest;
    for (std::size_t shard = 0; shard < coordinator_->shard_count(); ++shard) {
        const auto next = shared_->directory.earliest_return(
            coordinator_->service(shard), now);
        if (next) {
            earliest = std::min(earliest.value_or(*next), *next);
        }
    }
    return runtime::non_negative(earliest.value_or(now) - now);
}

void forwarded_request::finish(forward_outcome outcome)
{
    wake_timer_.cancel();
    exchange_->respond(make_final_answer(outcome));
    report_request(summary_, *coordinator_, outcome, shared_->clock.now(),
                   shared_->directory, shared_->metrics);
}

} // namespace tamarackhoist::node
