#ifndef TAMARACKHOIST_NODE_HEALTH_MONITOR_HPP
#define TAMARACKHOIST_NODE_HEALTH_MONITOR_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>
#include <tamarackhoist/node/peer_group.hpp>
#include <tamarackhoist/policy/domain_reach.hpp>
#include <tamarackhoist/policy/load_monitor.hpp>
#include <tamarackhoist/runtime/clock.hpp>

namespace tamarackhoist::node
{

/// Monitors whether this node should accept new callers: which failure
/// domains it can reach, and whether it keeps up with its load.
class health_monitor
{
public:
    /// Returns `is_cut_off` for the routes in force, for log lines.
    using cut_off_check = std::function<bool()>;

    health_monitor(boost::asio::io_context& context, runtime::clock clock,
                   const std::string& failure_domain);

    /// Starts the periodic check. `peers` must outlive this object.
    void start(peer_group& peers, cut_off_check is_cut_off);

    [[nodiscard]] policy::domain_reach& reach() { return reach_; }

    /// Returns whether this node reaches less than half of the failure domains
    /// and too few shards of some route. Nodes in other domains can then serve
    /// that route better.
    [[nodiscard]] bool
    is_cut_off(const policy::routing_table& routes,
               const policy::upstream_directory& directory) const;

    [[nodiscard]] bool is_overloaded() const
    {
        return load_.is_overloaded(clock_.now());
    }

    /// Returns how much later than due the last check ran.
    [[nodiscard]] runtime::duration lateness() const
    {
        return load_.lateness();
    }
    /// Returns the number of failure domains that are not reachable.
    [[nodiscard]] std::size_t lost_domain_count() const
    {
        return lost_domains_.size();
    }

private:
    void check();
    void update_load(runtime::duration lateness);
    void update_lost_domains(std::set<std::string> lost);

    const runtime::clock clock_;
    policy::domain_reach reach_;
    policy::load_monitor load_;
    boost::asio::steady_timer timer_;
    peer_group* peers_ = nullptr;
    cut_off_check is_cut_off_;
    std::set<std::string> lost_domains_;
    bool was_overloaded_ = false;
};

} // namespace tamarackhoist::node

#endif
