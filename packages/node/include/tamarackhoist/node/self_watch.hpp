#ifndef TAMARACKHOIST_NODE_SELF_WATCH_HPP
#define TAMARACKHOIST_NODE_SELF_WATCH_HPP

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

/// Watches whether this node is well placed to take new callers: which
/// failure domains it reaches, and whether it keeps up with its load.
class self_watch
{
public:
    /// Returns whether the routes in force cannot be served from here, for
    /// the log.
    using cut_off_source = std::function<bool()>;

    self_watch(boost::asio::io_context& context, runtime::clock clock,
               const std::string& failure_domain);

    /// Starts to look a few times a second; `peers` must outlive this.
    void start(peer_group& peers, cut_off_source is_cut_off);

    [[nodiscard]] policy::domain_reach& reach() { return reach_; }

    /// Returns whether some route lacks too many shards here, while other
    /// nodes are better placed.
    [[nodiscard]] bool
    is_cut_off(const policy::routing_table& routes,
               const policy::upstream_directory& directory) const;

    [[nodiscard]] bool is_overloaded() const
    {
        return load_.is_overloaded(clock_.now());
    }

    [[nodiscard]] runtime::duration lateness() const
    {
        return load_.lateness();
    }
    [[nodiscard]] std::size_t lost_domain_count() const
    {
        return lost_domains_.size();
    }

private:
    void look();
    void note_load(runtime::duration lateness);
    void note_lost_domains(std::set<std::string> lost);

    const runtime::clock clock_;
    policy::domain_reach reach_;
    policy::load_monitor load_;
    boost::asio::steady_timer timer_;
    peer_group* peers_ = nullptr;
    cut_off_source is_cut_off_;
    std::set<std::string> lost_domains_;
    bool was_overloaded_ = false;
};

} // namespace tamarackhoist::node

#endif
