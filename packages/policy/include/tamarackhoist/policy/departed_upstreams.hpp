#ifndef TAMARACKHOIST_POLICY_DEPARTED_UPSTREAMS_HPP
#define TAMARACKHOIST_POLICY_DEPARTED_UPSTREAMS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/upstream_pause.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <utility>
#include <vector>

namespace tamarackhoist::policy
{

/// One incarnation of an upstream that takes no more requests, as one node
/// tells it to another.
struct withdrawn_upstream {
    std::string id;
    /// `registered_upstream::started_at`.
    std::uint64_t started_at = 0;
    /// Whether it has said in an answer that it leaves.
    bool is_leaving = false;

    bool operator==(const withdrawn_upstream&) const = default;
};

/// Incarnations of upstreams whose registrations were removed or replaced. A
/// store that is restored from a copy may list them again.
class departed_upstreams
{
public:
    /// Time for which a departure is remembered. Copies of the store are some
    /// seconds old.
    static constexpr runtime::duration retention = std::chrono::seconds(60);

    /// What an incarnation has said of itself in its answers.
    struct notice {
        bool is_leaving = false;
        upstream_pause pause;
    };

    /// Records that an incarnation is gone.
    void record(const std::string& id, std::uint64_t started_at,
                const notice& said, runtime::time_point now);

    /// Records that an incarnation that is gone has said that it leaves. Has no
    /// effect if it is not known to be gone.
    void record_leaving(const registered_upstream& entry);

    /// Forgets an incarnation, which has registered again.
    void forget(const registered_upstream& entry);

    /// Returns whether the incarnation of `entry` is gone.
    [[nodiscard]] bool contains(const registered_upstream& entry) const;

    /// Returns what the incarnation of `entry` had said before it was gone;
    /// nothing if it is not known to be gone.
    [[nodiscard]] notice find_notice(const registered_upstream& entry) const;

    /// Returns all departures, to tell other nodes.
    [[nodiscard]] std::vector<withdrawn_upstream> list() const;

private:
    /// Identifier of an upstream and start of its incarnation.
    using incarnation = std::pair<std::string, std::uint64_t>;

    struct departure {
        notice said;
        runtime::time_point at{};
    };

    std::map<incarnation, departure> departures_;
};

} // namespace tamarackhoist::policy

#endif
