#include <tamarackhoist/node/peer_group.hpp>

#include <algorithm>
#include <tamarackhoist/node/cluster.hpp>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using peers::member;
using peers::member_state;
using runtime::event_number;

namespace
{

constexpr runtime::duration tick_interval = std::chrono::milliseconds(100);

event_number event_for_state(member_state state)
{
    switch (state) {
    case member_state::alive:
        return event_number::member_joined;
    case member_state::suspect:
        return event_number::member_suspected;
    case member_state::leaving:
    case member_state::dead:
        return event_number::member_left;
    }
    return event_number::member_left;
}

} // namespace

runtime::result<std::unique_ptr<peer_group>, std::string>
peer_group::create(boost::asio::io_context& io_context, runtime::clock clock,
                   operators::metrics& metrics, const member& self,
                   std::span<const transport::endpoint> seeds, hooks hooks)
{
    std::unique_ptr<peer_group> created(new peer_group(
        io_context, std::move(clock), metrics, self, std::move(hooks)));
    auto* group = created.get();
    BOOST_OUTCOME_TRY(
        group->server_,
        peers::peer_server::create(
            io_context.get_executor(), self.endpoint,
            {[group](const std::shared_ptr<peers::incoming_call>& call) {
                 group->handle_call(call);
             },
             [group](const peers::gossip_message& message) {
                 group->membership_.on_message(message, group->clock_.now());
                 group->hooks_.on_gossip_received(
                     message.sender.failure_domain);
             }}));
    for (const auto& seed : seeds) {
        if (seed != self.endpoint) {
            group->membership_.add_seed(seed);
        }
    }
    return created;
}

peer_group::peer_group(boost::asio::io_context& io_context,
                       runtime::clock clock, operators::metrics& metrics,
                       const member& self, hooks hooks)
    : io_context_(io_context), clock_(std::move(clock)), metrics_(metrics),
      hooks_(std::move(hooks)), peer_directory_(io_context.get_executor()),
      membership_(self, {}, make_membership_hooks(), self.incarnation),
      timer_(io_context)
{
}

peers::membership::hooks peer_group::make_membership_hooks()
{
    peers::membership::hooks hooks;
    hooks.send = [this](const transport::endpoint& target,
                        const peers::gossip_message& message) {
        metrics_.count({"tamarackhoist_gossip_sent_total", {}});
        server_->send_gossip(target, message);
    };
    hooks.on_change = [this] {
        on_members_changed();
    };
    hooks.on_transition = [this](const member& subject,
                                 member_state previous_state) {
        if (subject.state == member_state::suspect && hooks_.on_suspected) {
            hooks_.on_suspected(subject.failure_domain);
        }
        runtime::log_line(event_for_state(subject.state))
            .add("member", subject.name)
            .add("failure_domain", subject.failure_domain)
            .add("before", to_string(previous_state))
            .add("incarnation", subject.incarnation);
    };
    hooks.on_digest_mismatch = [](const member&, const peers::digest_summary&) {
    };
    hooks.on_drain = [](const peers::drain_update&) {
    };
    hooks.request_members = [this](const member& peer) {
        request_members(peer);
    };
    hooks.on_ack = [](runtime::time_point) {
    };
    return hooks;
}

void peer_group::start()
{
    server_->start();
    tick();
}

void peer_group::leave()
{
    membership_.leave(clock_.now());
}

void peer_group::tick()
{
    membership_.tick(clock_.now());
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            tick();
        }
    });
}

void peer_group::on_members_changed()
{
    cluster_view view;
    for (const auto& known_member : membership_.members()) {
        view.members[known_member.id()] = known_member;
    }
    peer_directory_.set_view(view);
    hooks_.on_change();
}

std::vector<member> peer_group::live_peers() const
{
    std::vector<member> live;
    for (auto& known_member : membership_.members()) {
        const bool is_live = known_member.state == member_state::alive ||
                             known_member.state == member_state::suspect;
        if (is_live && known_member.name != self().name) {
            live.push_back(std::move(known_member));
        }
    }
    return live;
}

std::size_t peer_group::remaining_peer_count() const
{
    const auto members = membership_.members();
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [this](const member& each) {
            return each.state != member_state::leaving &&
                   each.name != self().name;
        }));
}

void peer_group::request_members(const member& peer)
{
    peer_directory_.get_or_open_link(peer)->call(
        peers::call_path::members, {},
        [this](std::string_view message) {
            if (const auto members = peers::decode_members(message)) {
                membership_.merge(*members, clock_.now());
            }
        },
        [](peers::call_end) {});
}

void peer_group::handle_call(const std::shared_ptr<peers::incoming_call>& call)
{
    if (call->path() == peers::call_path::members) {
        call->reply(peers::encode_members(membership_.members()));
        call->finish();
        return;
    }
    hooks_.on_call(call);
}

void peer_group::call(policy::node_id peer, peers::call_path path,
                      std::string body,
                      peers::peer_link::message_handler on_message,
                      peers::peer_link::end_handler on_end)
{
    const auto known = membership_.find(peer);
    if (!known) {
        boost::asio::post(io_context_, [on_end = std::move(on_end)] {
            on_end(peers::call_end::not_sent);
        });
        return;
    }
    peer_directory_.get_or_open_link(*known)->call(
        path, std::move(body), std::move(on_message), std::move(on_end));
}

} // namespace tamarackhoist::node
