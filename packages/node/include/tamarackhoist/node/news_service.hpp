#ifndef TAMARACKHOIST_NODE_NEWS_SERVICE_HPP
#define TAMARACKHOIST_NODE_NEWS_SERVICE_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tamarackhoist/node/peer_group.hpp>
#include <tamarackhoist/peers/store_update_codec.hpp>
#include <tamarackhoist/platform/news_follower.hpp>
#include <tamarackhoist/policy/news_role.hpp>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// Keeps a copy of what the configuration service holds, from the service
/// itself or from a peer of the own failure domain that follows it.
class news_service
{
public:
    struct hooks {
        /// Everything, as of a revision of the service.
        std::function<void(const std::vector<policy::store_item>&,
                           std::uint64_t revision)>
            listed;
        std::function<void(const std::vector<policy::store_item>&)> changed;
        /// Registrations may have lapsed; they may be renewed for so long.
        std::function<void(runtime::duration)> grace;
        /// Returns the grace time that is left here.
        std::function<runtime::duration()> grace_left;
    };

    news_service(boost::asio::io_context& context, runtime::clock clock,
                 platform::store_calls calls, std::uint64_t random_seed,
                 hooks hooks);

    /// Starts to gather news; `peers` must outlive this.
    void start(peer_group& peers);
    void stop();

    /// Takes a call of a peer about news.
    void take_call(const std::shared_ptr<peers::incoming_call>& call);
    /// Live members changed.
    void members_changed();

    /// When the service last confirmed what is known.
    [[nodiscard]] std::optional<runtime::time_point> heard_at() const;
    [[nodiscard]] std::uint64_t call_count() const
    {
        return follower_->call_count();
    }

private:
    [[nodiscard]] platform::news_follower::observer watch_follower();
    void tick();
    void choose_role();
    void keep(const std::vector<policy::store_item>& items,
              std::uint64_t revision);
    void replace(const std::vector<policy::store_item>& items,
                 std::uint64_t revision);
    void push(const std::vector<policy::store_item>& items,
              std::uint64_t after_revision);
    void pull(policy::node_id from);
    void pull_if_empty();
    void take_shared(const peers::store_update& news);
    [[nodiscard]] peers::store_update make_full_news() const;
    [[nodiscard]] runtime::duration age() const;

    const runtime::clock clock_;
    const hooks hooks_;
    std::shared_ptr<platform::news_follower> follower_;
    policy::news_role role_;
    boost::asio::steady_timer timer_;
    peer_group* peers_ = nullptr;
    /// Live members of the own failure domain without this one.
    std::vector<peers::member> domain_peers_;
    /// Place of this node in the order in which they follow the service.
    std::size_t rank_ = 0;
    std::map<std::string, policy::store_item> items_;
    std::uint64_t revision_ = 0;
    std::optional<runtime::time_point> shared_heard_at_;
    runtime::time_point pushed_at_{};
    runtime::time_point pulled_at_{};
    bool is_complete_ = false;
    bool is_service_lost_ = false;
};

} // namespace tamarackhoist::node

#endif
