#ifndef TAMARACKHOIST_POLICY_UPSTREAM_DIRECTORY_HPP
#define TAMARACKHOIST_POLICY_UPSTREAM_DIRECTORY_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/upstream_health.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::policy
{

/// One incarnation of an upstream and what this node knows about it.
struct tracked_upstream {
    registered_upstream registration;
    upstream_health health;
    /// Until then the upstream answers slowly, since it has just started.
    runtime::time_point warm_at{};
    /// Attempts of this node that are not answered.
    std::uint32_t in_flight = 0;
    /// Set when the registration is gone; no new attempts are made.
    bool is_gone = false;
    /// When a missing registration takes effect.
    std::optional<runtime::time_point> gone_at;
};

using upstream_handle = std::shared_ptr<tracked_upstream>;

/// The registered upstreams by service. Registrations may lapse while the
/// store is away although the upstream lives; they get a grace time after its
/// return before they count as gone.
class upstream_directory
{
public:
    /// Time after the store's return in which a lapsed registration of a live
    /// upstream is renewed.
    static constexpr runtime::duration lapse_grace =
        std::chrono::milliseconds(2200);

    struct observer {
        /// A registration is new, or is of a new incarnation.
        std::function<void(const upstream_handle&)> added;
        std::function<void(const tracked_upstream&)> draining;
        std::function<void(const tracked_upstream&)> gone;
    };

    explicit upstream_directory(observer watch);

    /// Takes a registration. One of an older revision is ignored.
    void put(const registered_upstream& entry, runtime::time_point now);

    /// Takes the removal of a registration.
    void remove(std::string_view id, std::uint64_t revision,
                runtime::time_point now);

    /// Takes a complete list; upstreams that are not in it are removed.
    void replace_all(std::span<const registered_upstream> entries,
                     std::uint64_t revision, runtime::time_point now);

    /// Grants missing registrations a grace time until `until` at least.
    void extend_grace(runtime::time_point until);

    /// Returns how much of the grace time is left.
    [[nodiscard]] runtime::duration grace_left(runtime::time_point now) const;

    /// Puts removals in force whose grace time is over.
    void expire(runtime::time_point now);

    /// Returns when `expire` has work to do next.
    [[nodiscard]] std::optional<runtime::time_point> next_expiry() const;

    /// Returns the upstreams of `service` that take new requests.
    [[nodiscard]] std::span<const upstream_handle>
    ready(std::string_view service) const;

    [[nodiscard]] std::size_t size() const { return by_id_.size(); }

private:
    void schedule_removal(const upstream_handle& upstream,
                          runtime::time_point now);
    void drop(const std::string& id);
    void rebuild(const std::string& service);

    const observer watch_;
    std::map<std::string, upstream_handle, std::less<>> by_id_;
    std::map<std::string, std::vector<upstream_handle>, std::less<>>
        ready_by_service_;
    runtime::time_point grace_until_{};
};

} // namespace tamarackhoist::policy

#endif
