#include <tamarackhoist/node/health_monitor.hpp>

#include <algorithm>
#include <tamarackhoist/runtime/log_line.hpp>

namespace tamarackhoist::node
{

using runtime::duration;
using runtime::event_number;

namespace
{

constexpr duration check_interval = std::chrono::milliseconds(250);

} // namespace

health_monitor::health_monitor(boost::asio::io_context& context,
                               runtime::clock clock,
                               const std::string& failure_domain)
    : clock_(std::move(clock)), reach_(failure_domain), timer_(context)
{
}

void health_monitor::start(peer_group& peers, cut_off_check is_cut_off)
{
    peers_ = &peers;
    is_cut_off_ = std::move(is_cut_off);
    check();
}

bool health_monitor::is_cut_off(
    const policy::routing_table& routes,
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

void health_monitor::check()
{
    for (const auto& domain : reach_.domains_to_ping(clock_.now())) {
        peers_->ping_domain(domain);
    }
    peers_->set_in_minority(reach_.is_in_minority(clock_.now()));
    const auto lost = reach_.unreachable_domains(clock_.now());
    update_lost_domains({lost.begin(), lost.end()});
    const auto due_at = clock_.now() + check_interval;
    timer_.expires_after(check_interval);
    timer_.async_wait([this, due_at](boost::system::error_code error) {
        if (!error) {
            update_load(clock_.now() - due_at);
            check();
        }
    });
}

void health_monitor::update_load(duration lateness)
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

void health_monitor::update_lost_domains(std::set<std::string> lost)
{
    const auto log_change = [&](event_number event, const std::string& domain) {
        runtime::log_line(event)
            .add("failure_domain", domain)
            .add("lost_domains", lost.size())
            .add("is_cut_off", is_cut_off_() ? "yes" : "no");
    };
    for (const auto& domain : lost) {
        if (!lost_domains_.contains(domain)) {
            log_change(event_number::domain_lost, domain);
        }
    }
    for (const auto& domain : lost_domains_) {
        if (!lost.contains(domain)) {
            log_change(event_number::domain_regained, domain);
        }
    }
    lost_domains_ = std::move(lost);
}

} // namespace tamarackhoist::node
