#include <tamarackhoist/node/node.hpp>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <mutex>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <thread>
#include <utility>
#include <vector>

namespace tamarackhoist::node
{

namespace asio = boost::asio;
using runtime::event_number;

namespace
{

constexpr runtime::duration tick_interval = std::chrono::milliseconds(50);
constexpr runtime::duration shutdown_poll = std::chrono::milliseconds(50);
/// Time that the last replies to peers need to leave.
constexpr runtime::duration linger = std::chrono::milliseconds(200);

} // namespace

runtime::result<std::unique_ptr<node>, std::string>
node::create(node_settings settings, runtime::clock time)
{
    std::unique_ptr<node> created(
        new node(std::move(settings), std::move(time),
                 runtime::microseconds_since_epoch()));
    BOOST_OUTCOME_TRY(created->listen());
    return created;
}

node::node(node_settings settings, runtime::clock time,
           std::uint64_t incarnation)
    : settings_(std::move(settings)), time_(std::move(time)),
      self_(policy::node_id::of(settings_.name)), incarnation_(incarnation),
      guard_(time_.now()), links_(context_.get_executor()),
      owners_(context_.get_executor(), time_, self_, guard_),
      router_(cluster_, links_, owners_, self_, time_, metrics_),
      entries_(context_.get_executor(), time_, cluster_, links_, router_,
               metrics_, self_, incarnation)
{
    cluster_.on_change([this](const cluster_view_pointer& view) {
        links_.set_view(*view);
        if (view->deployment && !has_document_.exchange(true)) {
            runtime::log_event(event_number::node_ready, settings_.name);
        }
        if (view->deployment) {
            entries_.entry_context().directory().set_deployment(
                *view->deployment);
        }
        owners_.set_view(view);
    });
}

node::~node() = default;

runtime::result<void, std::string> node::listen()
{
    const auto executor = context_.get_executor();
    BOOST_OUTCOME_TRY(
        peer_server_,
        peers::peer_server::create(
            executor, settings_.peers,
            {[this](const std::shared_ptr<peers::incoming_call>& call) {
                 on_call(call);
             },
             [this](const peers::gossip_message& message) {
                 guard_.observe(time_.now());
                 membership_->on_message(message, time_.now());
                 configuration_->on_peer_message();
             }}));
    peers::member self;
    self.name = settings_.name;
    self.where = settings_.peers;
    self.failure_domain = settings_.failure_domain;
    self.region = settings_.region;
    self.incarnation = incarnation_;
    membership_ = std::make_unique<peers::membership>(
        self, peers::membership_settings{}, membership_hooks(), incarnation_);
    for (const auto& seed : settings_.seeds) {
        membership_->add_seed(seed);
    }
    cluster_.set_members({self});
    const auto on_gossip_strand = [this](auto action) {
        asio::post(peer_server_->gossip_executor(), std::move(action));
    };
    configuration_ = std::make_shared<configuration_service>(
        executor, time_, settings_, cluster_, links_, audit_, metrics_,
        configuration_service::hooks{
            [this, on_gossip_strand](peers::digest_summary digest) {
                on_gossip_strand(
                    [this, digest] { membership_->set_digest(digest); });
            },
            [this](policy::upstream_id target, bool is_leaving) {
                announce_drain(target, is_leaving);
            },
            [this, on_gossip_strand](const transport::endpoint& where) {
                on_gossip_strand(
                    [this, where] { membership_->add_seed(where); });
            }},
        incarnation_);
    BOOST_OUTCOME_TRY(
        caller_server_,
        callers::caller_server::create(
            executor, settings_.callers,
            {[this](callers::caller_query query,
                    std::function<void(policy::query_answer)> handle) {
                 entries_.run_query(std::move(query), std::move(handle));
             },
             [this](const callers::caller_ticket_request& wanted) {
                 return entries_.issue_ticket(wanted);
             },
             [this](callers::caller_order order,
                    const policy::order_ticket& ticket,
                    std::function<void(policy::order_outcome)> handle) {
                 entries_.run_order(std::move(order), ticket,
                                    std::move(handle));
             },
             [this] { return is_ready(); },
             [this](const std::string& name) {
                 const auto view = cluster_.view();
                 return view->deployment &&
                        view->deployment->find_caller(name) != nullptr;
             }}));
    BOOST_OUTCOME_TRY(
        operator_server_,
        operator_server::create(executor, settings_.operators, audit_, metrics_,
                                {[this](operator_server::text_handler handle) {
                                     render_status(handle);
                                 },
                                 [this](const std::string& index) {
                                     return explain(index);
                                 }}));
    return boost::outcome_v2::success();
}

peers::membership::hooks node::membership_hooks()
{
    peers::membership::hooks hooks;
    hooks.send = [this](const transport::endpoint& target,
                        const peers::gossip_message& message) {
        metrics_.count({"tamarackhoist_gossip_sent_total", {}});
        peer_server_->send_gossip(target, message);
    };
    hooks.on_change = [this] {
        cluster_.set_members(membership_->members());
    };
    hooks.on_transition = [this](const peers::member& changed,
                                 peers::member_state before) {
        on_transition(changed, before);
    };
    hooks.on_other_digest = [this](const peers::member& peer,
                                   const peers::digest_summary& digest) {
        configuration_->on_digest_mismatch(peer, digest);
    };
    hooks.on_drain = [this](const peers::drain_update& update) {
        on_drain(update);
    };
    hooks.on_ack = [this](runtime::time_point sent_at) {
        guard_.on_peer_heard(sent_at);
    };
    hooks.pull = [this](const peers::member& peer) {
        links_.get_or_open_link(peer)->call(
            peers::call_path::members, {},
            [this](std::string_view message) {
                auto members = peers::decode_members(message);
                if (!members) {
                    return;
                }
                asio::post(peer_server_->gossip_executor(),
                           [this, moved = std::move(*members)] {
                               membership_->merge(moved, time_.now());
                           });
            },
            [](peers::call_end) {});
    };
    return hooks;
}

void node::on_transition(const peers::member& changed,
                         peers::member_state before)
{
    const auto detail = changed.name + " is " + to_string(changed.state) +
                        ", was " + to_string(before);
    auto kind = runtime::audit_kind::member_joined;
    switch (changed.state) {
    case peers::member_state::alive:
        runtime::log_event(event_number::member_joined, detail);
        break;
    case peers::member_state::suspect:
        runtime::log_event(event_number::member_suspected, detail);
        return;
    case peers::member_state::leaving:
    case peers::member_state::dead:
        kind = runtime::audit_kind::member_left;
        runtime::log_event(event_number::member_left, detail);
        break;
    }
    audit_.record({std::chrono::system_clock::now(),
                   kind,
                   changed.name,
                   {},
                   0,
                   changed.incarnation,
                   detail});
}

void node::on_drain(const peers::drain_update& update)
{
    owners_.set_announced_drain(update.upstream, update.is_draining);
    entries_.entry_context().directory().set_draining(update.upstream,
                                                      update.is_draining);
    runtime::log_event(event_number::upstream_draining,
                       update.is_draining ? "an upstream leaves"
                                          : "an upstream returns");
}

void node::announce_drain(policy::upstream_id target, bool is_leaving)
{
    const peers::drain_update update{target, is_leaving,
                                     runtime::microseconds_since_epoch()};
    asio::post(peer_server_->gossip_executor(),
               [this, update] { membership_->announce_drain(update); });
}

void node::start()
{
    runtime::log_event(event_number::node_started, settings_.name);
    peer_server_->start();
    configuration_->start();
    caller_server_->start();
    operator_server_->start();
    tick_timer_ =
        std::make_unique<asio::steady_timer>(peer_server_->gossip_executor());
    shutdown_timer_ = std::make_unique<asio::steady_timer>(context_);
    asio::post(peer_server_->gossip_executor(), [this] { tick(); });
}

void node::run()
{
    start();
    std::vector<std::jthread> threads;
    for (std::uint32_t thread = 1; thread < settings_.threads; ++thread) {
        threads.emplace_back([this] { context_.run(); });
    }
    context_.run();
    threads.clear();
    runtime::log_event(event_number::node_stopped, settings_.name);
}

void node::tick()
{
    const auto now = time_.now();
    if (guard_.observe(now)) {
        runtime::log_event(event_number::resumed_after_pause, settings_.name);
        membership_->on_resumed(now);
    }
    membership_->tick(now);
    tick_timer_->expires_after(tick_interval);
    tick_timer_->async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

bool node::is_ready() const
{
    return cluster_.view()->deployment != nullptr && !is_leaving_;
}

void node::on_call(const std::shared_ptr<peers::incoming_call>& call)
{
    guard_.observe(time_.now());
    switch (call->path()) {
    case peers::call_path::sub_requests:
        on_sub_requests(call);
        return;
    case peers::call_path::cancel:
        if (const auto cancelled = peers::decode_cancel(call->body())) {
            owners_.cancel(cancelled->id, cancelled->target);
        }
        call->finish();
        return;
    case peers::call_path::order:
        on_order(call);
        return;
    case peers::call_path::document:
        on_document(call);
        return;
    case peers::call_path::push:
        if (auto sections = peers::decode_sections(call->body())) {
            configuration_->handle_push(std::move(*sections));
        }
        call->finish();
        return;
    case peers::call_path::members: {
        std::vector<peers::member> members;
        for (const auto& [id, each] : cluster_.view()->members) {
            members.push_back(each);
        }
        call->reply(peers::encode_members(members));
        call->finish();
        return;
    }
    case peers::call_path::unknown:
        runtime::log_event(event_number::peer_message_rejected,
                           "call to an unknown path");
        call->finish();
        return;
    }
}

void node::on_sub_requests(const std::shared_ptr<peers::incoming_call>& call)
{
    auto requests = peers::decode_sub_requests(call->body(), time_.now());
    if (!requests || requests->empty()) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed batch of sub-requests");
        call->finish();
        return;
    }
    auto open = std::make_shared<std::atomic<std::size_t>>(requests->size());
    for (auto& each : *requests) {
        owners_.submit(std::move(each),
                       [call, open](const policy::sub_reply& reply) {
                           call->reply(peers::encode_sub_reply(reply));
                           if (open->fetch_sub(1) == 1) {
                               call->finish();
                           }
                       });
    }
}

void node::on_order(const std::shared_ptr<peers::incoming_call>& call)
{
    auto order = peers::decode_order(call->body());
    if (!order) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed order");
        call->finish();
        return;
    }
    entries_.run_forwarded_order(
        std::move(*order), [call](const policy::order_outcome& outcome) {
            call->reply(peers::encode_outcome(outcome));
            call->finish();
        });
}

void node::on_document(const std::shared_ptr<peers::incoming_call>& call)
{
    const auto request = peers::decode_document_request(call->body());
    if (!request) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed document request");
        call->finish();
        return;
    }
    configuration_->handle_request(
        *request, [call](const std::vector<peers::shared_section>& sections) {
            if (sections.empty()) {
                call->finish();
                return;
            }
            call->reply(peers::encode_sections(sections));
        });
}

void node::shut_down()
{
    if (is_leaving_.exchange(true)) {
        return;
    }
    runtime::log_event(event_number::node_leaving, settings_.name);
    // Step 1: readiness goes off, and the peers take the upstreams over.
    asio::post(peer_server_->gossip_executor(),
               [this] { membership_->leave(time_.now()); });
    // Step 2: callers are still served until the balancer has noticed.
    asio::post(context_, [this] {
        shutdown_timer_->expires_after(settings_.balancer_lag);
        shutdown_timer_->async_wait([this](boost::system::error_code) {
            caller_server_->refuse_new_work();
            caller_server_->stop();
            wait_until_idle();
        });
    });
}

void node::wait_until_idle()
{
    // Step 3: everything in flight finishes, here and for other nodes.
    auto busy = std::make_shared<std::atomic<std::uint64_t>>(0);
    auto open =
        std::make_shared<std::atomic<std::size_t>>(owners_.lane_count());
    owners_.report([this, busy,
                    open](std::vector<operators::upstream_report> reports) {
        for (const auto& each : reports) {
            *busy += each.in_flight + each.queued;
        }
        if (open->fetch_sub(1) != 1) {
            return;
        }
        const bool is_idle =
            *busy == 0 && caller_server_->requests_in_flight() == 0;
        asio::post(context_, [this, is_idle] {
            shutdown_timer_->expires_after(is_idle ? linger : shutdown_poll);
            shutdown_timer_->async_wait(
                [this, is_idle](boost::system::error_code) {
                    if (is_idle) {
                        context_.stop();
                        return;
                    }
                    wait_until_idle();
                });
        });
    });
}

std::vector<operators::class_report> node::class_reports() const
{
    std::vector<operators::class_report> reports;
    const auto view = cluster_.view();
    if (!view->deployment) {
        return reports;
    }
    for (const auto& each : view->deployment->classes()) {
        const auto count = [&](policy::query_status status) {
            return metrics_.counter({"tamarackhoist_queries_total",
                                     "class=\"" + each.name + "\",outcome=\"" +
                                         policy::to_string(status) + "\""});
        };
        reports.push_back({each.name, count(policy::query_status::complete),
                           count(policy::query_status::partial),
                           count(policy::query_status::not_run),
                           count(policy::query_status::failed)});
    }
    return reports;
}

void node::render_status(const operator_server::text_handler& handle)
{
    struct pending_report {
        std::mutex mutex;
        operators::node_report report;
        std::size_t open = 0;
    };
    auto pending = std::make_shared<pending_report>();
    pending->open = owners_.lane_count() + 1;
    auto& report = pending->report;
    report.name = settings_.name;
    report.failure_domain = settings_.failure_domain;
    report.is_ready = is_ready();
    report.classes = class_reports();
    const auto view = cluster_.view();
    for (const auto& [id, each] : view->members) {
        report.members.push_back({each.name, to_string(each.state),
                                  each.failure_domain, each.where.to_text(),
                                  each.incarnation});
    }
    const auto finish_part = [pending, handle](auto fill) {
        bool is_done = false;
        {
            const std::lock_guard guard(pending->mutex);
            fill(pending->report);
            is_done = --pending->open == 0;
        }
        if (is_done) {
            handle(operators::encode_report(pending->report));
        }
    };
    owners_.report(
        [finish_part](const std::vector<operators::upstream_report>& part) {
            finish_part([&](operators::node_report& whole) {
                whole.owned_upstreams.insert(whole.owned_upstreams.end(),
                                             part.begin(), part.end());
            });
        });
    configuration_->report(
        [finish_part](std::vector<operators::section_report> sections,
                      document::document_digest digest, bool is_confirmed) {
            finish_part([&](operators::node_report& whole) {
                whole.sections = std::move(sections);
                whole.document_revision = digest.revision;
                whole.document_hash = digest.hash;
                whole.is_confirmed = is_confirmed;
            });
        });
}

std::string node::explain(const std::string& index)
{
    const auto view = cluster_.view();
    boost::json::array shards;
    if (view->deployment) {
        auto& directory = entries_.entry_context().directory();
        for (const auto& each : view->deployment->shards_of_index(index)) {
            boost::json::array replicas;
            for (const auto replica : each.replicas) {
                const auto* described =
                    view->deployment->find_upstream(replica);
                const auto owner = view->owners.owner_of(replica);
                const auto member =
                    owner ? view->members.find(*owner) : view->members.end();
                replicas.push_back(
                    {{"upstream", described->name},
                     {"failure_domain", described->failure_domain},
                     {"owner", member == view->members.end()
                                   ? std::string("none")
                                   : member->second.name},
                     {"version", directory.versions(replica).high},
                     {"queue_delay_ms",
                      runtime::to_milliseconds(
                          directory.queue_delay(replica, 0, time_.now()))}});
            }
            shards.push_back({{"shard", each.name},
                              {"range", boost::json::array{each.range.begin,
                                                           each.range.end}},
                              {"replicas", replicas}});
        }
    }
    return boost::json::serialize(
        boost::json::object{{"index", index}, {"shards", shards}});
}

} // namespace tamarackhoist::node
