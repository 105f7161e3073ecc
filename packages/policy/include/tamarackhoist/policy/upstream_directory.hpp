#ifndef TAMARACKHOIST_POLICY_UPSTREAM_DIRECTORY_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_DIRECTORY_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/departed_upstreams.hpp>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/send_permission.hpp>
#include <tamarackhoist/policy/upstream_health.hpp>
#include <tamarackhoist/policy/upstream_pause.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One incarnation of an upstream with its state as seen by this node.
struct tracked_upstream {
    registered_upstream registration;
    upstream_health health;
    /// Time at which the upstream's warm-up ends.
    runtime::time_point warm_at{};
    /// Open attempts of this node.
    std::uint32_t in_flight = 0;
    /// Set when the registration was removed or replaced; no new attempts are
    /// made.
    bool is_gone = false;
    /// Set when this incarnation has said in an answer that it leaves. Its
    /// registration may not say so yet, or never.
    bool is_leaving = false;
    /// Pause that this incarnation has asked for in an answer.
    upstream_pause pause;
    /// Time at which the removal of the registration takes effect, if it is
    /// pending.
    std::optional<runtime::time_point> removal_due_at;

    /// Returns whether this node may send requests to the upstream.
    [[nodiscard]] send_permission permission(runtime::time_point now) const;
    /// Whether the upstream is not offered: it drains, leaves or is gone.
    [[nodiscard]] bool is_withdrawn() const;
};

using upstream_handle = std::shared_ptr<tracked_upstream>;

/// What one incarnation of an upstream has said of itself in its answers, to
/// tell other nodes.
struct upstream_hold {
    /// `registered_upstream::started_at`.
    std::uint64_t started_at = 0;
    bool is_leaving = false;
    /// Time that is left of the pause that the upstream has asked for.
    runtime::duration pause_left{};

    bool operator==(const upstream_hold&) const = default;
};

/// The registered upstreams by service. While the store is unavailable,
/// registrations may lapse although their upstreams are alive. They are
/// therefore kept for a grace period after the store has recovered.
///
/// A store that is restored from a copy has lost what was written since. Live
/// upstreams register again within the grace period. Upstreams that drained or
/// were gone, and that the copy lists as ready, stay out of use until they are
/// written again.
class upstream_directory
{
public:
    /// Grace period after the store has recovered, within which live upstreams
    /// renew their lapsed registrations.
    static constexpr runtime::duration lapsed_registration_grace =
        std::chrono::milliseconds(2200);
    /// Time for which a withdrawn upstream has to stay listed as ready in a
    /// restored store until it counts as such. The store removes registrations
    /// that are not renewed for 3.6 s.
    static constexpr runtime::duration confirmation_time =
        std::chrono::milliseconds(5000);

    /// Callbacks for changes of the directory; all must be set.
    struct observer {
        /// An upstream or a new incarnation of it was added.
        std::function<void(const upstream_handle&)> added;
        /// An upstream takes no more requests, because it drains or leaves.
        std::function<void(const tracked_upstream&)> draining;
        /// An upstream or an old incarnation of it was removed.
        std::function<void(const tracked_upstream&)> gone;
    };

    explicit upstream_directory(observer callbacks);

    /// Adds or updates a registration. An older one than the current one is
    /// ignored.
    void put(const registered_upstream& entry, runtime::time_point now);

    /// Removes a registration, at the end of the grace period if one is
    /// running. Ignored if the registration is newer than `position`.
    void remove(std::string_view id, store_position position,
                runtime::time_point now);

    /// Updates the directory to a complete list of registrations; upstreams
    /// that are not in it are removed as by `remove`. A list of a new era of
    /// the store starts a grace period.
    void replace_all(std::span<const registered_upstream> entries,
                     store_position position, runtime::time_point now);

    /// Returns the upstreams that take no more requests, to tell a node that
    /// has started.
    [[nodiscard]] std::vector<withdrawn_upstream> withdrawn() const;

    /// Records which upstreams take no more requests according to a peer that
    /// has all changes up to `position`. Ignored for those whose registration
    /// is newer.
    void record_withdrawn(std::span<const withdrawn_upstream> upstreams,
                          store_position position, runtime::time_point now);

    /// Records that `upstream` has said in an answer that it leaves.
    void record_leaving(tracked_upstream& upstream);

    /// Returns what the upstream `id` has said of itself, if it wants no
    /// requests.
    [[nodiscard]] std::optional<upstream_hold>
    find_hold(std::string_view id, runtime::time_point now) const;

    /// Records what the upstream `id` has said of itself to another node.
    /// Ignored for another incarnation.
    void record_hold(std::string_view id, const upstream_hold& hold,
                     runtime::time_point now);

    /// Extends the grace period to `until`, unless it already ends later.
    void extend_grace(runtime::time_point until);

    /// Returns the remaining grace period; zero if it is over.
    [[nodiscard]] runtime::duration grace_left(runtime::time_point now) const;

    /// Applies pending removals whose grace period is over, and uses withdrawn
    /// upstreams that have stayed listed as ready. `confirmed_at` is when the
    /// store last confirmed what the directory was told.
    void expire(runtime::time_point now,
                std::optional<runtime::time_point> confirmed_at);

    /// Returns when `expire` has to be called next, if it has to.
    [[nodiscard]] std::optional<runtime::time_point> next_expiry() const;

    /// Returns the earliest time at which a paused upstream of `service` may
    /// get a request, or nothing if one may get it now or none will.
    [[nodiscard]] std::optional<runtime::time_point>
    earliest_return(std::string_view service, runtime::time_point now) const;

    /// Returns the upstreams of `service` that have not been withdrawn; some of
    /// them may be paused. Valid until the directory changes.
    [[nodiscard]] std::span<const upstream_handle>
    find_ready(std::string_view service) const;

    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

private:
    /// Registration of a withdrawn upstream in a restored store.
    struct unconfirmed_registration {
        registered_upstream entry;
        /// Time at which the store still has to list it.
        runtime::time_point usable_at{};
        runtime::time_point next_check_at{};
    };

    void begin_era(std::uint64_t era, runtime::time_point now);
    /// Whether `entry` says that an upstream is ready that this node knows to
    /// drain or to be gone.
    [[nodiscard]] bool is_taken_back(const registered_upstream& entry) const;
    void hold_unconfirmed(const registered_upstream& entry,
                          runtime::time_point now);
    void use_confirmed(runtime::time_point now,
                       std::optional<runtime::time_point> confirmed_at);
    /// Returns the upstream of this incarnation, or nullptr.
    [[nodiscard]] upstream_handle
    find_incarnation(std::string_view id, std::uint64_t started_at) const;
    void record_departure(const tracked_upstream& upstream,
                          runtime::time_point now);
    void remove_registration(std::string_view id, store_position position,
                             runtime::time_point now);
    void schedule_removal(const upstream_handle& upstream,
                          runtime::time_point now);
    void remove_now(const std::string& id, runtime::time_point now);
    void rebuild_ready_list(const std::string& service);

    const observer observer_;
    std::map<std::string, upstream_handle, std::less<>> by_id_;
    std::map<std::string, std::vector<upstream_handle>, std::less<>>
        ready_by_service_;
    runtime::time_point grace_until_{};
    /// Era of the last list; empty before the first one.
    std::optional<std::uint64_t> era_;
    departed_upstreams departed_;
    /// By the id of the upstream. They are used once they have been written
    /// again, or when they are due.
    std::map<std::string, unconfirmed_registration, std::less<>> unconfirmed_;
};

} // namespace tamarackhoist::policy

#endif
