#ifndef TAMARACKHOIST_POLICY_NEWS_ROLE_HPP
#define TAMARACKHOIST_POLICY_NEWS_ROLE_HPP

#include <cstddef>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Decides whether a node reads the configuration service itself. In each
/// failure domain the node of rank 0 reads it and sends the news to the others.
/// A node that receives no recent news from peers reads the service itself,
/// lower ranks first. The decision depends on the age of the news and not on
/// membership, so a wrong rank causes extra reads but never stale news.
class news_role
{
public:
    struct options {
        /// Time that a node has after its start to find and query its peers.
        runtime::duration startup_delay = std::chrono::milliseconds(150);
        /// Additional startup delay for each rank.
        runtime::duration startup_delay_per_rank =
            std::chrono::milliseconds(100);
        /// Maximum age of the last news from a peer that still count as recent.
        runtime::duration news_timeout = std::chrono::milliseconds(900);
        /// Additional news timeout for each rank.
        runtime::duration timeout_per_rank = std::chrono::milliseconds(150);
        /// Higher ranks use the delay and timeout of this rank.
        std::size_t max_rank = 4;
    };

    news_role(options options, runtime::time_point started_at);

    /// Records that a peer of the same failure domain sent recent news that the
    /// service has confirmed.
    void record_peer_news(runtime::time_point now);

    /// Returns whether the node of `rank` in its failure domain should read the
    /// service itself. `is_complete` states whether the node holds all items of
    /// the service, whatever their age.
    [[nodiscard]] bool should_follow_service(std::size_t rank, bool is_complete,
                                             runtime::time_point now) const;

private:
    const options options_;
    const runtime::time_point started_at_;
    runtime::time_point last_peer_news_at_;
};

} // namespace tamarackhoist::policy

#endif
