#ifndef TAMARACKHOIST_POLICY_DEPARTED_UPSTREAMS_HPP
#define TAMARACKHOIST_POLICY_DEPARTED_UPSTREAMS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <tamarackhoist/policy/registered_upstream.hpp>
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

    /// Records that an incarnation is gone. `is_leaving` states whether it had
    /// said in an answer that it leaves.
    void record(const std::string& id, std::uint64_t started_at,
                bool is_leaving, runtime::time_point now);

    /// Forgets an incarnation, which has registered again.
    void forget(const registered_upstream& entry);

    /// Returns whether the incarnation of `entry` is gone.
    [[nodiscard]] bool contains(const registered_upstream& entry) const;

    /// Returns whether the incarnation of `entry` is gone and had said in an
    /// answer that it leaves.
    [[nodiscard]] bool has_left(const registered_upstream& entry) const;

    /// Returns all departures, to tell other nodes.
    [[nodiscard]] std::vector<withdrawn_upstream> list() const;

private:
    /// Identifier of an upstream and start of its incarnation.
    using incarnation = std::pair<std::string, std::uint64_t>;

    struct departure {
        bool is_leaving = false;
        runtime::time_point at{};
    };

    std::map<incarnation, departure> departures_;
};

} // namespace tamarackhoist::policy

#endif
