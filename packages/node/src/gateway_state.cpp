#include "upstream_notice.hpp"
#include <algorithm>
#include <tamarackhoist/node/gateway.hpp>
#include <tamarackhoist/runtime/log_line.hpp>
#include <utility>

/// The part of the gateway that keeps its routes and upstreams up to date: from
/// the items of the store, and from what upstreams say in their answers.
namespace tamarackhoist::node
{

namespace http = boost::beast::http;
using runtime::duration;
using runtime::event_number;
using runtime::log_event;

namespace
{

bool is_before(const policy::store_item& left, const policy::store_item& right)
{
    return left.position < right.position;
}

} // namespace

store_sync::hooks gateway::make_store_sync_hooks()
{
    return {
        .on_snapshot =
            [this](const std::vector<policy::store_item>& items,
                   policy::store_position position) {
                apply_snapshot(items, position);
            },
        .on_changes =
            [this](const std::vector<policy::store_item>& items) {
                apply_changes(items);
            },
        .extend_grace =
            [this](duration left) {
                directory_.extend_grace(clock_.now() + left);
            },
        .grace_left = [this] { return directory_.grace_left(clock_.now()); },
        .held_back = [this] { return items_held_back(); },
        .on_held_back =
            [this](const std::vector<policy::store_item>& items) {
                apply_configurations(items);
            },
        .withdrawn = [this] { return directory_.withdrawn(); },
        .on_withdrawn =
            [this](const std::vector<policy::withdrawn_upstream>& upstreams,
                   policy::store_position position) {
                directory_.record_withdrawn(upstreams, position, clock_.now());
                arm_expiry();
            }};
}

void gateway::apply_changes(const std::vector<policy::store_item>& items)
{
    for (const auto& each : items) {
        if (const auto item = decode_(each)) {
            apply_item(each, *item);
        }
    }
    arm_expiry();
}

void gateway::apply_configurations(const std::vector<policy::store_item>& items)
{
    for (const auto& each : items) {
        const auto item = decode_(each);
        if (item && std::holds_alternative<platform::routes_published>(*item)) {
            apply_item(each, *item);
        }
    }
}

void gateway::apply_item(const policy::store_item& source,
                         const platform::news_item& item)
{
    const auto now = clock_.now();
    if (const auto* published =
            std::get_if<platform::routes_published>(&item)) {
        apply_routes(source, published->routes);
    } else if (const auto* registered =
                   std::get_if<platform::upstream_registered>(&item)) {
        directory_.put(registered->entry, now);
    } else if (const auto* removed =
                   std::get_if<platform::upstream_unregistered>(&item)) {
        directory_.remove(removed->id, removed->position, now);
    } else if (const auto* unusable =
                   std::get_if<platform::unusable_value>(&item)) {
        log_unusable_value(*unusable);
    }
}

void gateway::apply_snapshot(const std::vector<policy::store_item>& items,
                             policy::store_position position)
{
    if (store_era_ != position.era()) {
        begin_store_era(position.era());
    }
    std::vector<policy::registered_upstream> entries;
    for (const auto& each : items) {
        const auto item = decode_(each);
        if (!item) {
            continue;
        }
        if (const auto* registered =
                std::get_if<platform::upstream_registered>(&*item)) {
            entries.push_back(registered->entry);
            continue;
        }
        apply_item(each, *item);
    }
    directory_.replace_all(entries, position, clock_.now());
    arm_expiry();
    has_snapshot_ = true;
    log_first_readiness();
}

void gateway::begin_store_era(std::uint64_t era)
{
    const bool is_restored = store_era_ || era != policy::first_store_era;
    store_era_ = era;
    held_back_version_.reset();
    if (is_restored) {
        store_settles_at_ =
            clock_.now() +
            policy::upstream_directory::lapsed_registration_grace;
    }
}

std::vector<policy::store_item> gateway::items_held_back() const
{
    if (routes_ == nullptr || !store_era_ ||
        routes_source_.position.era() >= *store_era_) {
        return {};
    }
    return {routes_source_};
}

void gateway::hold_back(std::uint64_t version)
{
    if (held_back_version_ == version) {
        return;
    }
    held_back_version_ = version;
    metrics_.count({"tamarackhoist_held_back_configurations_total", ""});
    runtime::log_line(event_number::configuration_held_back)
        .add("version", version)
        .add("version_in_force", routes_->version());
}

void gateway::apply_routes(
    const policy::store_item& source,
    const std::shared_ptr<const policy::routing_table>& routes)
{
    const bool is_of_store = store_era_ == source.position.era();
    if (routes_ != nullptr && routes->version() < routes_->version()) {
        if (is_of_store) {
            hold_back(routes->version());
        }
        return;
    }
    const bool is_written_again =
        is_of_store && std::exchange(held_back_version_, std::nullopt);
    if (routes_ != nullptr && routes->version() == routes_->version()) {
        routes_source_ = std::max(routes_source_, source, is_before);
        if (is_written_again) {
            log_routes_in_force();
        }
        return;
    }
    const auto replaced = std::exchange(routes_, routes);
    routes_source_ = source;
    if (!is_of_store && replaced != nullptr) {
        // A peer has it from an earlier era; the store has lost it.
        hold_back(replaced->version());
    }
    pools_.set_routes(routes);
    log_routes_in_force();
    log_first_readiness();
}

void gateway::log_routes_in_force() const
{
    log_event(event_number::routes_in_force,
              "version " + std::to_string(routes_->version()) + " routes " +
                  std::to_string(routes_->route_count()));
}

void gateway::log_first_readiness()
{
    if (!was_ready_ && is_ready()) {
        was_ready_ = true;
        log_event(event_number::node_ready, settings_.name);
    }
}

void gateway::log_unusable_value(const platform::unusable_value& value)
{
    auto& reason = unusable_reasons_[value.key];
    if (reason == value.reason) {
        return;
    }
    reason = value.reason;
    log_event(event_number::platform_answer_rejected,
              value.key + ": " + value.reason);
}

void gateway::arm_expiry()
{
    const auto next = directory_.next_expiry();
    if (!next) {
        return;
    }
    expiry_timer_.expires_after(runtime::non_negative(*next - clock_.now()));
    expiry_timer_.async_wait([this](boost::system::error_code error) {
        if (error) {
            return;
        }
        directory_.expire(clock_.now(), store_sync_->confirmed_at());
        arm_expiry();
    });
}

void gateway::handle_head(policy::tracked_upstream& upstream,
                          const transport::http_response& head)
{
    const auto notice = read_upstream_notice(head, forwarding_->fields);
    const auto now = clock_.now();
    if (notice.is_leaving) {
        directory_.record_leaving(upstream);
    }
    if (notice.pause) {
        pause_upstream(upstream, *notice.pause, now);
    } else if (transport::get_status_class(head) !=
               http::status_class::informational) {
        upstream.pause.record_answer(now);
    }
    if (notice.is_pause_malformed) {
        metrics_.count({"tamarackhoist_malformed_pauses_total", ""});
        runtime::log_line(event_number::upstream_pause_malformed)
            .add("upstream", upstream.registration.id)
            .add("service", upstream.registration.service);
    }
}

void gateway::pause_upstream(policy::tracked_upstream& upstream,
                             duration length, runtime::time_point now)
{
    std::uniform_real_distribution<double> spread(0.0, 1.0);
    upstream.pause.extend(length, spread(random_), now);
    metrics_.count({"tamarackhoist_upstream_pauses_total", ""});
    runtime::log_line(event_number::upstream_paused)
        .add("upstream", upstream.registration.id)
        .add("service", upstream.registration.service)
        .add("pause_ms", length);
    pools_.apply_permission(upstream.registration);
}

policy::upstream_directory::observer gateway::make_directory_observer()
{
    return {.added =
                [this](const policy::upstream_handle& upstream) {
                    pools_.open(upstream);
                },
            .draining =
                [this](const policy::tracked_upstream& upstream) {
                    const std::string reason =
                        to_string(upstream.permission(clock_.now()).reason);
                    metrics_.count({"tamarackhoist_upstreams_leaving_total",
                                    "reason=\"" + reason + "\""});
                    runtime::log_line(event_number::upstream_draining)
                        .add("upstream", upstream.registration.id)
                        .add("service", upstream.registration.service)
                        .add("reason", reason);
                    pools_.apply_permission(upstream.registration);
                },
            .gone =
                [this](const policy::tracked_upstream& upstream) {
                    pools_.close(upstream.registration);
                }};
}

} // namespace tamarackhoist::node
