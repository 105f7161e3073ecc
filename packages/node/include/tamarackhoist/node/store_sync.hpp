#ifndef TAMARACKHOIST_NODE_STORE_SYNC_HPP
#define TAMARACKHOIST_NODE_STORE_SYNC_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <tamarackhoist/node/store_peers.hpp>
#include <tamarackhoist/peers/store_update_codec.hpp>
#include <tamarackhoist/platform/news_follower.hpp>
#include <tamarackhoist/policy/lapse_detector.hpp>
#include <tamarackhoist/policy/news_role.hpp>
#include <tamarackhoist/policy/peer_inquiry.hpp>
#include <tamarackhoist/policy/store_copy.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Keeps a local copy of the configuration service's items in sync. In each
/// failure domain one node follows the service itself and pushes the changes
/// to its peers in the domain. What is of an earlier era of the service than
/// the copy changes and confirms nothing, whoever sends it.
class store_sync
{
public:
    struct hooks {
        /// Receives all items as of a position of the service.
        std::function<void(const std::vector<policy::store_item>&,
                           policy::store_position)>
            on_snapshot;
        /// Receives items that are newer than the local copy.
        std::function<void(const std::vector<policy::store_item>&)> on_changes;
        /// Extends the grace period, in which registrations that may have
        /// lapsed unnoticed can still be renewed, to the given time from now.
        std::function<void(runtime::duration)> extend_grace;
        /// Returns the time that is left of the grace period.
        std::function<runtime::duration()> grace_left;
        /// Returns items of an earlier era that are in force.
        std::function<std::vector<policy::store_item>()> held_back;
        /// Receives items that are, or were, in force at a peer.
        std::function<void(const std::vector<policy::store_item>&)>
            on_held_back;
        /// Returns the upstreams that take no more requests.
        std::function<std::vector<policy::withdrawn_upstream>()> withdrawn;
        /// Receives the upstreams that take no more requests from a peer that
        /// has all changes up to a position.
        std::function<void(const std::vector<policy::withdrawn_upstream>&,
                           policy::store_position)>
            on_withdrawn;
    };

    store_sync(boost::asio::io_context& context, runtime::clock clock,
               platform::store_calls calls, policy::news_role::options limits,
               std::uint64_t random_seed, hooks hooks);

    /// Starts the synchronisation. `group` must outlive this object.
    void start(peer_group& group);
    void stop();

    /// Handles a peer's pull or push of items.
    void handle_call(const std::shared_ptr<peers::incoming_call>& call);
    /// To be called when the live peers have changed.
    void update_members();

    /// Returns when the service last confirmed the local copy, to this node or
    /// to the peer that it came from. Empty before the first confirmation in
    /// the latest era that is known.
    [[nodiscard]] std::optional<runtime::time_point> confirmed_at() const;
    /// Returns the client of the service, for metrics.
    [[nodiscard]] const platform::news_follower& follower() const
    {
        return *follower_;
    }
    /// Returns the position of the service up to which this node has all
    /// changes.
    [[nodiscard]] policy::store_position position() const
    {
        return copy_.position();
    }
    /// Returns how often this node saw that the service had been restored.
    [[nodiscard]] std::uint64_t restore_count() const { return restore_count_; }
    /// Returns the number of peers' updates that were dropped, as they were of
    /// an earlier era than the local copy.
    [[nodiscard]] std::uint64_t outdated_update_count() const
    {
        return outdated_update_count_;
    }

private:
    [[nodiscard]] platform::news_follower::observer make_follower_observer();
    void tick();
    void update_role();
    void merge_items(const std::vector<policy::store_item>& items,
                     policy::store_position position);
    void replace_items(const std::vector<policy::store_item>& items,
                       policy::store_position position);
    void record_restore(std::uint64_t era_before, std::uint64_t era,
                        std::string_view told_by);
    /// Returns the grace period for the registrations that this node holds;
    /// zero if it has not received any yet.
    [[nodiscard]] runtime::duration full_grace() const;
    /// Extends the grace period by `grace`, as registrations may have lapsed
    /// before `confirmed_at`.
    void extend_grace(runtime::time_point confirmed_at, runtime::duration grace,
                      std::string_view told_by);
    /// Records a confirmation by the service, and extends the grace period if
    /// registrations may have lapsed since the one before. To be called before
    /// the changes are applied.
    void record_confirmation(runtime::time_point confirmed_at,
                             runtime::duration grace, std::string_view told_by);
    void push_to_peers(const std::vector<policy::store_item>& items,
                       std::uint64_t after_revision);
    /// Pushes what the service has lost, without items.
    void push_memory();
    /// Adds what this node knows and the service may have lost.
    void add_memory(peers::store_update& news) const;
    void pull_if_needed();
    void apply_pulled_update(const peers::store_update& news);
    void apply_peer_update(const peers::store_update& news);
    [[nodiscard]] bool
    has_missed_changes(const peers::store_update& news) const;
    void record_peer_news(const peers::store_update& news);
    /// Returns an update without items.
    [[nodiscard]] peers::store_update make_update() const;
    [[nodiscard]] peers::store_update make_snapshot() const;
    [[nodiscard]] runtime::duration confirmation_age() const;

    const runtime::clock clock_;
    const policy::news_role::options limits_;
    const hooks hooks_;
    std::shared_ptr<platform::news_follower> follower_;
    store_peers peers_;
    policy::news_role role_;
    boost::asio::steady_timer timer_;
    policy::store_copy copy_;
    policy::lapse_detector lapses_;
    policy::peer_inquiry inquiry_;
    std::optional<runtime::time_point> peer_confirmed_at_;
    std::uint64_t restore_count_ = 0;
    std::uint64_t outdated_update_count_ = 0;
};

} // namespace tamarackhoist::node

#endif
