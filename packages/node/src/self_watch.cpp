#include <tamarackhoist/node/self_watch.hpp>

#include <algorithm>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using runtime::duration;
using runtime::event_number;

namespace
{

constexpr duration look_interval = std::chrono::milliseconds(250);

} // namespace

self_watch::self_watch(boost::asio::io_context& context, runtime::clock clock,
                       const std::string& failure_domain)
    : clock_(std::move(clock)), reach_(failure_domain), timer_(context)
{
}

void self_watch::start(peer_group& peers, cut_off_source is_cut_off)
{
    peers_ = &peers;
    is_cut_off_ = std::move(is_cut_off);
    look();
}

bool self_watch::is_cut_off(const policy::routing_table& routes,
                            const policy::upstream_directory& directory) const
{
    const auto now = clock_.now();
    if (!reach_.is_in_minority(now)) {
        return false;
    }
    return std::any_of(routes.routes().begin(), routes.routes().end(),
                       [&](const policy::route& each) {
                           return !reach_.can_cover(each, directory, now);
                       });
}

void self_watch::look()
{
    const auto lost = reach_.unreachable_domains(clock_.now());
    for (const auto& domain : lost) {
        peers_->ping_domain(domain);
    }
    note_lost_domains({lost.begin(), lost.end()});
    const auto due = clock_.now() + look_interval;
    timer_.expires_after(look_interval);
    timer_.async_wait([this, due](boost::system::error_code error) {
        if (!error) {
            note_load(clock_.now() - due);
            look();
        }
    });
}

void self_watch::note_load(duration lateness)
{
    load_.record_lateness(lateness, clock_.now());
    if (is_overloaded() == was_overloaded_) {
        return;
    }
    was_overloaded_ = is_overloaded();
    runtime::log_line(was_overloaded_ ? event_number::node_overloaded
                                      : event_number::node_caught_up)
        .add("lateness_ms", lateness);
}

void self_watch::note_lost_domains(std::set<std::string> lost)
{
    const auto note = [&](event_number event, const std::string& domain) {
        runtime::log_line(event)
            .add("failure_domain", domain)
            .add("lost_domains", lost.size())
            .add("is_cut_off", is_cut_off_() ? "yes" : "no");
    };
    for (const auto& domain : lost) {
        if (!lost_domains_.contains(domain)) {
            note(event_number::domain_lost, domain);
        }
    }
    for (const auto& domain : lost_domains_) {
        if (!lost.contains(domain)) {
            note(event_number::domain_regained, domain);
        }
    }
    lost_domains_ = std::move(lost);
}

} // namespace tamarackhoist::node
