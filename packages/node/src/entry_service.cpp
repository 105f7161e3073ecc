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

/// Runs one coordinator on a strand of its own, with a timer. The coordinator
/// keeps itself alive until it has finished.
template <typename Coordinator>
class coordinator_run
    : public std::enable_shared_from_this<coordinator_run<Coordinator>>
{
public:
    coordinator_run(const asio::any_io_executor& executor, runtime::clock time)
        : strand_(asio::make_strand(executor)), timer_(strand_),
          time_(std::move(time))
    {
    }

    void start(std::unique_ptr<Coordinator> coordinator)
    {
        coordinator_ = std::move(coordinator);
        asio::post(strand_, [self = this->shared_from_this()] {
            self->coordinator_->start(self->time_.now());
            self->arm();
        });
    }

    void on_reply(policy::sub_reply reply)
    {
        asio::post(strand_,
                   [self = this->shared_from_this(), reply = std::move(reply)] {
                       if (!self->coordinator_) {
                           return;
                       }
                       self->coordinator_->on_reply(reply, self->time_.now());
                       self->arm();
                   });
    }

private:
    void arm()
    {
        const auto next = coordinator_->next_timer();
        if (next == armed_for_) {
            return;
        }
        armed_for_ = next;
        if (!next) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(runtime::non_negative(*next - time_.now()));
        timer_.async_wait(
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (error) {
                    return;
                }
                self->armed_for_.reset();
                self->coordinator_->on_timer(self->time_.now());
                self->arm();
            });
    }

    asio::strand<asio::any_io_executor> strand_;
    asio::steady_timer timer_;
    const runtime::clock time_;
    std::unique_ptr<Coordinator> coordinator_;
    std::optional<runtime::time_point> armed_for_;
};

using query_run = coordinator_run<policy::query_coordinator>;
using order_run = coordinator_run<policy::order_coordinator>;

runtime::time_point deadline_of(const std::optional<runtime::duration>& asked,
                                runtime::duration of_class,
                                runtime::time_point now)
{
    return now + std::min(asked.value_or(of_class), of_class);
}

policy::order_outcome make_unknown(const char* reason)
{
    return {policy::order_status::unknown, reason, {}};
}

} // namespace

entry_service::entry_service(asio::any_io_executor executor,
                             runtime::clock time, const cluster& members,
                             peer_directory& links, request_router& router,
                             operators::metrics& measured, policy::node_id self,
                             std::uint64_t incarnation)
    : executor_(std::move(executor)), time_(std::move(time)), cluster_(members),
      links_(links), router_(router), metrics_(measured), self_(self),
      incarnation_(incarnation),
      context_(policy::hash_pair(self.value, incarnation)),
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

void entry_service::run_query(callers::caller_query wanted,
                              answer_handler handle)
{
    const auto view = cluster_.view();
    const auto now = time_.now();
    const auto* caller = view->deployment->find_caller(wanted.context.caller);
    const auto rank = caller->query_class;
    const auto& description = view->deployment->classes()[rank];

    policy::query query;
    query.index = std::move(wanted.index);
    query.ranges = std::move(wanted.ranges);
    query.rank = rank;
    query.deadline =
        deadline_of(wanted.context.deadline, description.deadline, now);
    query.body = std::move(wanted.body);

    auto run = std::make_shared<query_run>(executor_, time_);
    std::weak_ptr<query_run> weak = run;
    policy::query_coordinator::hooks hooks;
    hooks.send = [this, weak](std::span<const policy::sub_request> batch) {
        router_.send(batch, [self = weak.lock()](policy::sub_reply reply) {
            self->on_reply(std::move(reply));
        });
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        router_.cancel(target, id);
    };
    hooks.complete = [this, view, rank, now,
                      handle = std::move(handle)](policy::query_answer answer) {
        count_query(*view, rank, answer, time_.now() - now);
        handle(std::move(answer));
    };
    hooks.current_deployment = [this] {
        return cluster_.view()->deployment;
    };
    run->start(policy::query_coordinator::builder()
                   .for_query(std::move(query))
                   .with_context(context_)
                   .with_hooks(std::move(hooks))
                   .with_seed(next_seed())
                   .build());
}

std::optional<policy::order_ticket>
entry_service::issue_ticket(const callers::caller_ticket_request& wanted)
{
    return ledger_.issue(wanted.service, time_.now());
}

void entry_service::run_order(callers::caller_order wanted,
                              const policy::order_ticket& ticket,
                              outcome_handler handle)
{
    const auto view = cluster_.view();
    const auto now = time_.now();
    const auto* caller = view->deployment->find_caller(wanted.context.caller);
    const auto rank = caller->order_class;
    const auto& description = view->deployment->classes()[rank];
    const auto deadline =
        deadline_of(wanted.context.deadline, description.deadline, now);
    const auto counted = [this, handle = std::move(handle)](
                             const policy::order_outcome& outcome) {
        count_order(outcome);
        handle(outcome);
    };
    if (ticket.issuer == self_ && ticket.incarnation == incarnation_) {
        run_here({std::move(wanted.service), wanted.position, rank, deadline,
                  std::move(wanted.body)},
                 ticket, counted);
        return;
    }
    forward({ticket, std::move(wanted.service), wanted.position, rank,
             deadline - now, std::move(wanted.body)},
            counted);
}

void entry_service::run_forwarded(peers::forwarded_order forwarded,
                                  outcome_handler handle)
{
    const auto& ticket = forwarded.ticket;
    if (ticket.issuer != self_ || ticket.incarnation != incarnation_) {
        handle(make_unknown("the node that issued the ticket was replaced"));
        return;
    }
    run_here({std::move(forwarded.service), forwarded.position, forwarded.rank,
              time_.now() + forwarded.remaining, std::move(forwarded.body)},
             ticket, std::move(handle));
}

void entry_service::run_here(policy::order wanted,
                             const policy::order_ticket& ticket,
                             outcome_handler handle)
{
    const auto claimed = ledger_.claim(
        ticket, wanted.service, time_.now(),
        [handle = std::move(handle)](const policy::order_outcome& outcome) {
            handle(outcome);
        });
    if (claimed != policy::order_ledger::claim_result::run) {
        return;
    }
    auto run = std::make_shared<order_run>(executor_, time_);
    std::weak_ptr<order_run> weak = run;
    policy::order_coordinator::hooks hooks;
    hooks.send = [this, weak](const policy::sub_request& request) {
        router_.send(std::span(&request, 1),
                     [self = weak.lock()](policy::sub_reply reply) {
                         self->on_reply(std::move(reply));
                     });
    };
    hooks.cancel = [this](policy::upstream_id target, policy::request_id id) {
        router_.cancel(target, id);
    };
    hooks.settle = [this, ticket](const policy::order_outcome& outcome) {
        ledger_.settle(ticket, outcome);
    };
    run->start(std::make_unique<policy::order_coordinator>(
        std::move(wanted), cluster_.view()->deployment, context_,
        std::move(hooks), next_seed()));
}

void entry_service::forward(const peers::forwarded_order& order,
                            outcome_handler handle)
{
    const auto view = cluster_.view();
    const auto issuer = view->members.find(order.ticket.issuer);
    const bool is_reachable =
        issuer != view->members.end() &&
        issuer->second.state != peers::member_state::dead &&
        issuer->second.incarnation == order.ticket.incarnation;
    if (!is_reachable) {
        handle(make_unknown("the node that issued the ticket is not "
                            "reachable from here"));
        return;
    }
    // The first of reply, end of call and deadline answers the caller.
    auto answer = std::make_shared<outcome_handler>(std::move(handle));
    auto timer = std::make_shared<asio::steady_timer>(
        asio::make_strand(executor_), order.remaining);
    const auto settle = [answer, timer](const policy::order_outcome& outcome) {
        asio::post(timer->get_executor(), [answer, timer, outcome] {
            timer->cancel();
            if (auto once = std::exchange(*answer, nullptr)) {
                once(outcome);
            }
        });
    };
    timer->async_wait([settle](boost::system::error_code error) {
        if (!error) {
            settle(make_unknown("the issuing node did not answer in time"));
        }
    });
    links_.get_or_open_link(issuer->second)
        ->call(
            peers::call_path::order, peers::encode_order(order),
            [settle](std::string_view message) {
                const auto outcome = peers::decode_outcome(message);
                settle(outcome.value_or(
                    make_unknown("the issuing node's answer is malformed")));
            },
            [settle](peers::call_end) {
                settle(make_unknown("the issuing node did not answer"));
            });
}

void entry_service::count_query(const cluster_view& view,
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

void entry_service::count_order(const policy::order_outcome& outcome)
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
