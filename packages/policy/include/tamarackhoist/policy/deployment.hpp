#ifndef TAMARACKHOIST_POLICY_DEPLOYMENT_HPP
#define TAMARACKHOIST_POLICY_DEPLOYMENT_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/identifier.hpp>
#include <tamarackhoist/policy/key_range.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <unordered_map>
#include <vector>

/// Routing, scheduling and overload decisions, and the configuration that they
/// use.
namespace tamarackhoist::policy
{

/// Position of a priority class in `deployment::classes()`; 0 is the most
/// urgent.
using class_index = std::size_t;

/// Settings of one class of requests.
struct priority_class {
    std::string name;
    /// Order of urgency; 0 is served first.
    std::uint32_t rank = 0;
    /// Time from the arrival of a request to its deadline.
    runtime::duration deadline{};
    /// Fraction of an upstream's time that this class gets whatever the load
    /// of other classes.
    double guaranteed_share = 0;
    /// Whether callers of this class accept partial coverage.
    bool allows_partial = false;
    /// Whether idempotent requests may be hedged.
    bool may_hedge = false;
    /// Maximum attempts for one shard, including the first.
    std::uint32_t max_attempts = 1;
};

enum class service_kind {
    /// Idempotent reads of a part of an index.
    query,
    /// Non-idempotent requests.
    order
};

/// One server of a service.
struct upstream {
    upstream_id id;
    std::string name;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    std::string failure_domain;
    /// Maximum requests that run at a time.
    std::uint32_t slots = 1;
    /// Maximum connections that the upstream accepts.
    std::uint32_t connections = 1;
};

/// Key range of a service and the upstreams that serve it.
struct shard {
    std::string name;
    std::string service;
    /// Index whose keys this shard holds; empty for an order service.
    std::string index;
    key_range range;
    std::vector<upstream_id> replicas;
};

struct service {
    std::string name;
    service_kind kind = service_kind::query;
};

/// Client of the nodes, with the classes of its requests.
struct caller {
    std::string name;
    class_index query_class = 0;
    class_index order_class = 0;
};

/// Immutable configuration: the entities that the document describes.
class deployment
{
public:
    class builder;

    /// Returns the highest revision of the document sections in force.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

    /// Returns the priority classes, most urgent first.
    [[nodiscard]] std::span<const priority_class> classes() const
    {
        return classes_;
    }
    [[nodiscard]] std::span<const upstream> upstreams() const
    {
        return upstreams_;
    }
    [[nodiscard]] std::span<const service> services() const
    {
        return services_;
    }

    /// Returns the shards of `index`, ordered by range; empty when unknown.
    [[nodiscard]] std::span<const shard>
    shards_of_index(std::string_view index) const;

    /// Returns the shards of the order service `name`; empty when unknown.
    [[nodiscard]] std::span<const shard>
    shards_of_service(std::string_view name) const;

    /// Returns the upstream, or nullptr when it is unknown.
    [[nodiscard]] const upstream* find_upstream(upstream_id id) const;

    /// Returns the caller, or nullptr when it is unknown.
    [[nodiscard]] const caller* find_caller(std::string_view name) const;

    /// Returns the service, or nullptr when it is unknown.
    [[nodiscard]] const service* find_service(std::string_view name) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return hash_text(text);
        }
    };
    template <typename Value>
    using text_map =
        std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    std::uint64_t epoch_ = 0;
    std::vector<priority_class> classes_;
    std::vector<upstream> upstreams_;
    std::vector<service> services_;
    std::unordered_map<upstream_id, std::size_t> upstream_positions_;
    text_map<std::vector<shard>> shards_by_index_;
    text_map<std::vector<shard>> shards_by_service_;
    text_map<caller> callers_;
};

using deployment_pointer = std::shared_ptr<const deployment>;

/// Builds a deployment. The parts are expected to be valid; the document
/// package checks them.
class deployment::builder
{
public:
    builder& epoch(std::uint64_t value);
    builder& add(priority_class value);
    builder& add(service value);
    /// Sets the identifier of the upstream from its name.
    builder& add(upstream value);
    builder& add(shard value);
    builder& add(caller value);

    /// Returns the deployment, with classes ordered by rank and the shards of
    /// each index by range. The builder must not be used afterwards.
    [[nodiscard]] deployment_pointer build();

private:
    deployment value_;
};

} // namespace tamarackhoist::policy

#endif
