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
constexpr runtime::duration shutdown_poll_interval =
    std::chrono::milliseconds(50);
/// Delay before the process stops, so that the last replies to peers are
/// written.
constexpr runtime::duration reply_flush_delay = std::chrono::milliseconds(200);

} // namespace

runtime::result<std::unique_ptr<node>, std::string>
node::create(node_settings settings, runtime::clock clock)
{
    std::unique_ptr<node> created(
        new node(std::move(settings), std::move(clock),
                 runtime::microseconds_since_epoch()));
    BOOST_OUTCOME_TRY(created->listen());
    return created;
}

node::node(node_settings settings, runtime::clock clock,
           std::uint64_t incarnation)
    : settings_(std::move(settings)), clock_(std::move(clock)),
      self_(policy::node_id::from_name(settings_.name)),
      incarnation_(incarnation), pause_guard_(clock_.now()),
      peer_directory_(io_context_.get_executor()),
      owner_service_(io_context_.get_executor(), clock_, self_, pause_guard_),
      request_router_(cluster_, peer_directory_, owner_service_, self_, clock_,
                      metrics_),
      entry_service_(io_context_.get_executor(), clock_, cluster_,
                     peer_directory_, request_router_, metrics_, self_,
                     incarnation)
{
    cluster_.on_change([this](const cluster_view_pointer& view) {
        peer_directory_.set_view(*view);
        if (view->deployment && !was_ready_logged_.exchange(true)) {
            runtime::log_event(event_number::node_ready, settings_.name);
        }
        if (view->deployment) {
            entry_service_.entry_context().directory().set_deployment(
                *view->deployment);
        }
        owner_service_.set_view(view);
    });
}

node::~node() = default;

runtime::result<void, std::string> node::listen()
{
    const auto executor = io_context_.get_executor();
    BOOST_OUTCOME_TRY(
        peer_server_,
        peers::peer_server::create(
            executor, settings_.peers,
            {[this](const std::shared_ptr<peers::incoming_call>& call) {
                 handle_call(call);
             },
             [this](const peers::gossip_message& message) {
                 pause_guard_.observe(clock_.now());
                 membership_->on_message(message, clock_.now());
                 configuration_service_->on_peer_message();
             }}));
    peers::member self;
    self.name = settings_.name;
    self.endpoint = settings_.peers;
    self.failure_domain = settings_.failure_domain;
    self.region = settings_.region;
    self.incarnation = incarnation_;
    membership_ = std::make_unique<peers::membership>(
        self, peers::membership_settings{}, make_membership_hooks(),
        incarnation_);
    for (const auto& seed : settings_.seeds) {
        membership_->add_seed(seed);
    }
    cluster_.set_members({self});
    const auto post_to_gossip = [this](auto action) {
        asio::post(peer_server_->gossip_executor(), std::move(action));
    };
    configuration_service_ = std::make_shared<configuration_service>(
        executor, clock_, settings_, cluster_, peer_directory_, audit_trail_,
        metrics_,
        configuration_service::hooks{
            [this, post_to_gossip](peers::digest_summary digest) {
                post_to_gossip(
                    [this, digest] { membership_->set_digest(digest); });
            },
            [this](policy::upstream_id target, bool is_draining) {
                announce_drain(target, is_draining);
            },
            [this, post_to_gossip](const transport::endpoint& address) {
                post_to_gossip(
                    [this, address] { membership_->add_seed(address); });
            }},
        incarnation_);
    BOOST_OUTCOME_TRY(
        caller_server_,
        callers::caller_server::create(
            executor, settings_.callers,
            {[this](callers::caller_query query,
                    std::function<void(policy::query_answer)> on_answer) {
                 entry_service_.run_query(std::move(query),
                                          std::move(on_answer));
             },
             [this](const callers::caller_ticket_request& request) {
                 return entry_service_.issue_ticket(request);
             },
             [this](callers::caller_order order,
                    const policy::order_ticket& ticket,
                    std::function<void(policy::order_outcome)> on_outcome) {
                 entry_service_.run_order(std::move(order), ticket,
                                          std::move(on_outcome));
             },
             [this] { return is_ready(); },
             [this](const std::string& name) {
                 const auto view = cluster_.view();
                 return view->deployment &&
                        view->deployment->find_caller(name) != nullptr;
             }}));
    BOOST_OUTCOME_TRY(operator_server_,
                      operator_server::create(
                          executor, settings_.operators, audit_trail_, metrics_,
                          {[this](operator_server::text_handler handler) {
                               render_status(handler);
                           },
                           [this](const std::string& index) {
                               return explain_routing(index);
                           }}));
    return boost::outcome_v2::success();
}

peers::membership::hooks node::make_membership_hooks()
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
    hooks.on_transition = [this](const peers::member& member,
                                 peers::member_state previous_state) {
        on_member_transition(member, previous_state);
    };
    hooks.on_digest_mismatch = [this](const peers::member& peer,
                                      const peers::digest_summary& digest) {
        configuration_service_->on_digest_mismatch(peer, digest);
    };
    hooks.on_drain = [this](const peers::drain_update& update) {
        on_drain_update(update);
    };
    hooks.on_ack = [this](runtime::time_point sent_at) {
        pause_guard_.on_peer_heard(sent_at);
    };
    hooks.request_members = [this](const peers::member& peer) {
        peer_directory_.get_or_open_link(peer)->call(
            peers::call_path::members, {},
            [this](std::string_view message) {
                auto members = peers::decode_members(message);
                if (!members) {
                    return;
                }
                asio::post(peer_server_->gossip_executor(),
                           [this, members = std::move(*members)] {
                               membership_->merge(members, clock_.now());
                           });
            },
            [](peers::call_end) {});
    };
    return hooks;
}

void node::on_member_transition(const peers::member& member,
                                peers::member_state previous_state)
{
    const auto detail = member.name + " is " + to_string(member.state) +
                        ", was " + to_string(previous_state);
    auto kind = runtime::audit_kind::member_joined;
    switch (member.state) {
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
    audit_trail_.record({std::chrono::system_clock::now(),
                         kind,
                         member.name,
                         {},
                         0,
                         member.incarnation,
                         detail});
}

void node::on_drain_update(const peers::drain_update& update)
{
    owner_service_.set_announced_drain(update.upstream, update.is_draining);
    entry_service_.entry_context().directory().set_draining(update.upstream,
                                                            update.is_draining);
    runtime::log_event(
        event_number::upstream_draining,
        "upstream with id " + std::to_string(update.upstream.value) +
            (update.is_draining ? " is draining" : " no longer drains"));
}

void node::announce_drain(policy::upstream_id target, bool is_draining)
{
    const peers::drain_update update{target, is_draining,
                                     runtime::microseconds_since_epoch()};
    asio::post(peer_server_->gossip_executor(),
               [this, update] { membership_->announce_drain(update); });
}

void node::start()
{
    runtime::log_event(event_number::node_started, settings_.name);
    peer_server_->start();
    configuration_service_->start();
    caller_server_->start();
    operator_server_->start();
    tick_timer_ =
        std::make_unique<asio::steady_timer>(peer_server_->gossip_executor());
    shutdown_timer_ = std::make_unique<asio::steady_timer>(io_context_);
    asio::post(peer_server_->gossip_executor(), [this] { tick(); });
}

void node::run()
{
    start();
    std::vector<std::jthread> threads;
    for (std::uint32_t thread = 1; thread < settings_.threads; ++thread) {
        threads.emplace_back([this] { io_context_.run(); });
    }
    io_context_.run();
    threads.clear();
    runtime::log_event(event_number::node_stopped, settings_.name);
}

void node::tick()
{
    const auto now = clock_.now();
    if (pause_guard_.observe(now)) {
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

void node::handle_call(const std::shared_ptr<peers::incoming_call>& call)
{
    pause_guard_.observe(clock_.now());
    switch (call->path()) {
    case peers::call_path::sub_requests:
        handle_sub_requests(call);
        return;
    case peers::call_path::cancel:
        if (const auto cancelled = peers::decode_cancel(call->body())) {
            owner_service_.cancel(cancelled->id, cancelled->target);
        }
        call->finish();
        return;
    case peers::call_path::order:
        handle_order(call);
        return;
    case peers::call_path::document:
        handle_document_request(call);
        return;
    case peers::call_path::push:
        if (auto sections = peers::decode_sections(call->body())) {
            configuration_service_->handle_push(std::move(*sections));
        }
        call->finish();
        return;
    case peers::call_path::members: {
        std::vector<peers::member> members;
        for (const auto& [id, member] : cluster_.view()->members) {
            members.push_back(member);
        }
        call->reply(peers::encode_members(members));
        call->finish();
        return;
    }
    case peers::call_path::unknown:
        runtime::log_event(event_number::peer_message_rejected,
                           "call to an unknown path with a body of " +
                               std::to_string(call->body().size()) + " bytes");
        call->finish();
        return;
    }
}

void node::handle_sub_requests(
    const std::shared_ptr<peers::incoming_call>& call)
{
    auto requests = peers::decode_sub_requests(call->body(), clock_.now());
    if (!requests || requests->empty()) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed or empty sub-request batch of " +
                               std::to_string(call->body().size()) + " bytes");
        call->finish();
        return;
    }
    auto pending_replies =
        std::make_shared<std::atomic<std::size_t>>(requests->size());
    for (auto& request : *requests) {
        owner_service_.submit(
            std::move(request),
            [call, pending_replies](const policy::sub_reply& reply) {
                call->reply(peers::encode_sub_reply(reply));
                if (pending_replies->fetch_sub(1) == 1) {
                    call->finish();
                }
            });
    }
}

void node::handle_order(const std::shared_ptr<peers::incoming_call>& call)
{
    auto order = peers::decode_order(call->body());
    if (!order) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed forwarded order of " +
                               std::to_string(call->body().size()) + " bytes");
        call->finish();
        return;
    }
    entry_service_.run_forwarded_order(
        std::move(*order), [call](const policy::order_outcome& outcome) {
            call->reply(peers::encode_outcome(outcome));
            call->finish();
        });
}

void node::handle_document_request(
    const std::shared_ptr<peers::incoming_call>& call)
{
    const auto request = peers::decode_document_request(call->body());
    if (!request) {
        runtime::log_event(event_number::peer_message_rejected,
                           "malformed document request of " +
                               std::to_string(call->body().size()) + " bytes");
        call->finish();
        return;
    }
    configuration_service_->handle_request(
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
    // Step 1: the node reports not ready, and peers take over its upstreams.
    asio::post(peer_server_->gossip_executor(),
               [this] { membership_->leave(clock_.now()); });
    // Step 2: callers are served until the load balancer has stopped sending
    // requests here.
    asio::post(io_context_, [this] {
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
    // Step 3: waits until all requests in flight have finished, including
    // those of other nodes for upstreams that this node owned.
    auto open_requests = std::make_shared<std::atomic<std::uint64_t>>(0);
    auto pending_lanes =
        std::make_shared<std::atomic<std::size_t>>(owner_service_.lane_count());
    owner_service_.report([this, open_requests, pending_lanes](
                              std::vector<operators::upstream_report> reports) {
        for (const auto& upstream : reports) {
            *open_requests += upstream.in_flight + upstream.queued;
        }
        if (pending_lanes->fetch_sub(1) != 1) {
            return;
        }
        const bool is_idle =
            *open_requests == 0 && caller_server_->requests_in_flight() == 0;
        asio::post(io_context_, [this, is_idle] {
            shutdown_timer_->expires_after(is_idle ? reply_flush_delay
                                                   : shutdown_poll_interval);
            shutdown_timer_->async_wait(
                [this, is_idle](boost::system::error_code) {
                    if (is_idle) {
                        io_context_.stop();
                        return;
                    }
                    wait_until_idle();
                });
        });
    });
}

std::vector<operators::class_report> node::make_class_reports() const
{
    std::vector<operators::class_report> reports;
    const auto view = cluster_.view();
    if (!view->deployment) {
        return reports;
    }
    for (const auto& priority_class : view->deployment->classes()) {
        const auto count_with = [&](policy::query_status status) {
            return metrics_.counter({"tamarackhoist_queries_total",
                                     "class=\"" + priority_class.name +
                                         "\",outcome=\"" +
                                         policy::to_string(status) + "\""});
        };
        reports.push_back({priority_class.name,
                           count_with(policy::query_status::complete),
                           count_with(policy::query_status::partial),
                           count_with(policy::query_status::not_run),
                           count_with(policy::query_status::failed)});
    }
    return reports;
}

void node::render_status(const operator_server::text_handler& handler)
{
    struct pending_report {
        std::mutex mutex;
        operators::node_report report;
        std::size_t missing_parts = 0;
    };
    auto pending = std::make_shared<pending_report>();
    pending->missing_parts = owner_service_.lane_count() + 1;
    auto& report = pending->report;
    report.name = settings_.name;
    report.failure_domain = settings_.failure_domain;
    report.is_ready = is_ready();
    report.classes = make_class_reports();
    const auto view = cluster_.view();
    for (const auto& [id, member] : view->members) {
        report.members.push_back(
            {member.name, to_string(member.state), member.failure_domain,
             member.endpoint.to_text(), member.incarnation});
    }
    const auto add_part = [pending, handler](auto add_to_report) {
        bool is_done = false;
        {
            const std::lock_guard lock(pending->mutex);
            add_to_report(pending->report);
            is_done = --pending->missing_parts == 0;
        }
        if (is_done) {
            handler(operators::encode_report(pending->report));
        }
    };
    owner_service_.report(
        [add_part](const std::vector<operators::upstream_report>& part) {
            add_part([&](operators::node_report& whole) {
                whole.owned_upstreams.insert(whole.owned_upstreams.end(),
                                             part.begin(), part.end());
            });
        });
    configuration_service_->report(
        [add_part](std::vector<operators::section_report> sections,
                   document::document_digest digest, bool is_confirmed) {
            add_part([&](operators::node_report& whole) {
                whole.sections = std::move(sections);
                whole.document_revision = digest.revision;
                whole.document_hash = digest.hash;
                whole.is_confirmed = is_confirmed;
            });
        });
}

std::string node::explain_routing(const std::string& index)
{
    const auto view = cluster_.view();
    boost::json::array shards;
    if (view->deployment) {
        auto& directory = entry_service_.entry_context().directory();
        for (const auto& shard : view->deployment->shards_of_index(index)) {
            boost::json::array replicas;
            for (const auto replica : shard.replicas) {
                const auto* upstream = view->deployment->find_upstream(replica);
                const auto owner = view->owners.owner_of(replica);
                const auto member =
                    owner ? view->members.find(*owner) : view->members.end();
                replicas.push_back(
                    {{"upstream", upstream->name},
                     {"failure_domain", upstream->failure_domain},
                     {"owner", member == view->members.end()
                                   ? std::string("none")
                                   : member->second.name},
                     {"version", directory.versions(replica).high},
                     {"queue_delay_ms",
                      runtime::to_milliseconds(
                          directory.queue_delay(replica, 0, clock_.now()))}});
            }
            shards.push_back({{"shard", shard.name},
                              {"range", boost::json::array{shard.range.begin,
                                                           shard.range.end}},
                              {"replicas", replicas}});
        }
    }
    return boost::json::serialize(
        boost::json::object{{"index", index}, {"shards", shards}});
}

} // namespace tamarackhoist::node
