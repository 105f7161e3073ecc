#include <tamarackhoist/node/entry_service.hpp>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <random>
#include <tamarackhoist/policy/order_coordinator.hpp>
#include <tamarackhoist/policy/query_coordinator.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <utility>

namespace tamarackhoist::node
{

namespace asio = boost::asio;

namespace
{

/// Runs one coordinator with a timer on a separate strand. Pending handlers
/// hold references to the runner and keep it alive until it has finished.
template <typename Coordinator>
class coordinator_runner
    : public std::enable_shared_from_this<coordinator_runner<Coordinator>>
{
public:
    coordinator_runner(const asio::any_io_executor& executor,
                       runtime::clock clock)
        : strand_(asio::make_strand(executor)), timer_(strand_),
          clock_(std::move(clock))
    {
    }

    void start(std::unique_ptr<Coordinator> coordinator)
    {
        coordinator_ = std::move(coordinator);
        asio::post(strand_, [self = this->shared_from_this()] {
            self->coordinator_->start(self->clock_.now());
            self->arm_timer();
        });
    }

    void on_reply(policy::sub_reply reply)
    {
        asio::post(strand_,
                   [self = this->shared_from_this(), reply = std::move(reply)] {
                       if (!self->coordinator_) {
                           return;
                       }
                       self->coordinator_->on_reply(reply, self->clock_.now());
                       self->arm_timer();
                   });
    }

private:
    void arm_timer()
    {
        const auto next = coordinator_->next_timer();
        if (next == timer_expiry_) {
            return;
        }
        timer_expiry_ = next;
        if (!next) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(runtime::non_negative(*next - clock_.now()));
        timer_.async_wait(
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    return;
                }
                self->timer_expiry_.reset();
                self->coordinator_->on_timer(self->clock_.now());
                self->arm_timer();
            });
    }

    asio::strand<asio::any_io_executor> strand_;
    asio::steady_timer timer_;
    const runtime::clock clock_;
    std::unique_ptr<Coordinator> coordinator_;
    std::optional<runtime::time_point> timer_expiry_;
};

using query_runner = coordinator_runner<policy::query_coordinator>;
using order_runner = coordinator_runner<policy::order_coordinator>;

runtime::time_point
compute_deadline(const std::optional<runtime::duration>& requested,
                 runtime::duration class_deadline, runtime::time_point now)
{
    return now + std::min(requested.value_or(class_deadline), class_deadline);
}

policy::order_outcome make_unknown_outcome(const char* reason)
{
    return {policy::order_status::unknown, reason, {}};
}

} // namespace

entry_service::entry_service(asio::any_io_executor executor,
                             runtime::clock clock, const cluster& cluster,
                             peer_directory& directory, request_router& router,
                             operators::metrics& metrics, policy::node_id self,
                             std::uint64_t incarnation)
    : executor_(std::move(executor)), clock_(std::move(clock)),
      cluster_(cluster), peer_directory_(directory), router_(router),
      metrics_(metrics), self_(self), incarnation_(incarnation),
      entry_context_(policy::hash_pair(self.value, incarnation)),
      ledger_(self, incarnation,
              (std::uint64_t{std::random_device{}()} << 32) |
                  std::random_device{}()),
      next_seed_(incarnation)
{
}

std::uint64_t entry_service::next_seed()
{
    return next_seed_.fetch_add(1);
}

void entry_service::run_query(callers::caller_query request,
                              answer_handler on_answer)
{
    const auto view = cluster_.view();
    const auto now = clock_.now();
    const auto* caller = view->deployment->find_caller(request.context.caller);
    const auto rank = caller->query_class;
    const auto& priority_class = view->deployment->classes()[rank];

    policy::query query;
    query.index = std::move(request.index);
    query.ranges = std::move(request.ranges);
    query.rank = rank;
    query.deadline = compute_deadline(request.context.deadline,
                                      priority_class.deadline, now);
    query.body = std::move(request.body);

    auto runner = std::make_shared<query_runner>(executor_, clock_);
    std::weak_ptr<query_runner> weak_runner = runner;
    policy::query_coordinator::hooks hooks;
    hooks.send = [this,
                  weak_runner](std::span<const policy::sub_request> batch) {
        router_.send(batch,
                     [runner = weak_runner.lock()](policy::sub_reply reply) {
                         runner->on_reply(std::move(reply));
                     });
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        router_.cancel(target, id);
    };
    hooks.complete = [this, view, rank, now, on_answer = std::move(on_answer)](
                         policy::query_answer answer) {
        record_query_metrics(*view, rank, answer, clock_.now() - now);
        on_answer(std::move(answer));
    };
    hooks.current_deployment = [this] {
        return cluster_.view()->deployment;
    };
    runner->start(policy::query_coordinator::builder()
                      .for_query(std::move(query))
                      .with_context(entry_context_)
                      .with_hooks(std::move(hooks))
                      .with_seed(next_seed())
                      .build());
}

std::optional<policy::order_ticket>
entry_service::issue_ticket(const callers::caller_ticket_request& request)
{
    return ledger_.issue(request.service, clock_.now());
}

void entry_service::run_order(callers::caller_order request,
                              const policy::order_ticket& ticket,
                              outcome_handler on_outcome)
{
    const auto view = cluster_.view();
    const auto now = clock_.now();
    const auto* caller = view->deployment->find_caller(request.context.caller);
    const auto rank = caller->order_class;
    const auto& priority_class = view->deployment->classes()[rank];
    const auto deadline = compute_deadline(request.context.deadline,
                                           priority_class.deadline, now);
    const auto record_outcome = [this, on_outcome = std::move(on_outcome)](
                                    const policy::order_outcome& outcome) {
        record_order_metrics(outcome);
        on_outcome(outcome);
    };
    if (ticket.issuer == self_ && ticket.incarnation == incarnation_) {
        run_locally({std::move(request.service), request.position, rank,
                     deadline, std::move(request.body)},
                    ticket, record_outcome);
        return;
    }
    forward_order({ticket, std::move(request.service), request.position, rank,
                   deadline - now, std::move(request.body)},
                  record_outcome);
}

void entry_service::run_forwarded_order(peers::forwarded_order forwarded,
                                        outcome_handler on_outcome)
{
    const auto& ticket = forwarded.ticket;
    if (ticket.issuer != self_ || ticket.incarnation != incarnation_) {
        on_outcome(make_unknown_outcome(
            "the node that issued the ticket was replaced"));
        return;
    }
    run_locally({std::move(forwarded.service), forwarded.position,
                 forwarded.rank, clock_.now() + forwarded.remaining,
                 std::move(forwarded.body)},
                ticket, std::move(on_outcome));
}

void entry_service::run_locally(policy::order order,
                                const policy::order_ticket& ticket,
                                outcome_handler on_outcome)
{
    const auto claim_result = ledger_.claim(
        ticket, order.service, clock_.now(),
        [on_outcome = std::move(on_outcome)](
            const policy::order_outcome& outcome) { on_outcome(outcome); });
    if (claim_result != policy::order_ledger::claim_result::run) {
        return;
    }
    auto runner = std::make_shared<order_runner>(executor_, clock_);
    std::weak_ptr<order_runner> weak_runner = runner;
    policy::order_coordinator::hooks hooks;
    hooks.send = [this, weak_runner](const policy::sub_request& request) {
        router_.send(std::span(&request, 1),
                     [runner = weak_runner.lock()](policy::sub_reply reply) {
                         runner->on_reply(std::move(reply));
                     });
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        router_.cancel(target, id);
    };
    hooks.settle = [this, ticket](const policy::order_outcome& outcome) {
        ledger_.settle(ticket, outcome);
    };
    runner->start(std::make_unique<policy::order_coordinator>(
        std::move(order), cluster_.view()->deployment, entry_context_,
        std::move(hooks), next_seed()));
}

void entry_service::forward_order(const peers::forwarded_order& order,
                                  outcome_handler on_outcome)
{
    const auto view = cluster_.view();
    const auto issuer = view->members.find(order.ticket.issuer);
    const bool is_reachable =
        issuer != view->members.end() &&
        issuer->second.state != peers::member_state::dead &&
        issuer->second.incarnation == order.ticket.incarnation;
    if (!is_reachable) {
        on_outcome(
            make_unknown_outcome("the node that issued the ticket is not "
                                 "reachable from here"));
        return;
    }
    // The first of reply, end of call and deadline determines the outcome;
    // later ones are ignored.
    auto pending_handler =
        std::make_shared<outcome_handler>(std::move(on_outcome));
    auto timer = std::make_shared<asio::steady_timer>(
        asio::make_strand(executor_), order.remaining);
    const auto settle = [pending_handler,
                         timer](const policy::order_outcome& outcome) {
        asio::post(timer->get_executor(), [pending_handler, timer, outcome] {
            timer->cancel();
            if (auto handler = std::exchange(*pending_handler, nullptr)) {
                handler(outcome);
            }
        });
    };
    timer->async_wait([settle](boost::system::error_code error) {
        if (!error) {
            settle(make_unknown_outcome(
                "the issuing node did not answer in time"));
        }
    });
    peer_directory_.get_or_open_link(issuer->second)
        ->call(
            peers::call_path::order, peers::encode_order(order),
            [settle](std::string_view message) {
                const auto outcome = peers::decode_outcome(message);
                settle(outcome.value_or(make_unknown_outcome(
                    "the issuing node's answer is malformed")));
            },
            [settle](peers::call_end) {
                settle(make_unknown_outcome("the issuing node did not answer"));
            });
}

void entry_service::record_query_metrics(const cluster_view& view,
                                         policy::class_index rank,
                                         const policy::query_answer& answer,
                                         runtime::duration elapsed)
{
    const auto& name = view.deployment->classes()[rank].name;
    const auto class_label = "class=\"" + name + "\"";
    metrics_.count({"tamarackhoist_queries_total",
                    class_label + ",outcome=\"" +
                        policy::to_string(answer.status) + "\""});
    metrics_.count({"tamarackhoist_extra_attempts_total", class_label},
                   answer.extra_attempts);
    const bool has_results = answer.status == policy::query_status::complete ||
                             answer.status == policy::query_status::partial;
    if (has_results) {
        metrics_.observe({"tamarackhoist_query_seconds", class_label}, elapsed);
    }
}

void entry_service::record_order_metrics(const policy::order_outcome& outcome)
{
    metrics_.count(
        {"tamarackhoist_orders_total",
         std::string("outcome=\"") + policy::to_string(outcome.status) + "\""});
    if (outcome.status == policy::order_status::unknown) {
        runtime::log_event(runtime::event_number::request_outcome_unknown,
                           outcome.reason);
    }
}

} // namespace tamarackhoist::node
