#ifndef TAMARACKHOIST_POLICY_NEWS_ROLE_HPP
#define TAMARACKHOIST_POLICY_NEWS_ROLE_HPP

#include <cstddef>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Decides whether a node reads the configuration service itself. In each
/// failure domain the node of rank 0 reads it and sends the news to the others.
/// A node that receives no news from peers, or only news that the service has
/// not confirmed for too long, reads the service itself, lower ranks first. The
/// decision depends on the age of the news and not on membership, so a wrong
/// rank causes extra reads but never stale news.
class news_role
{
public:
    struct options {
        /// Time that a node has after its start to find and query its peers.
        runtime::duration startup_delay = std::chrono::milliseconds(150);
        /// Additional startup delay for each rank.
        runtime::duration startup_delay_per_rank =
            std::chrono::milliseconds(100);
        /// Longest time for which the service holds one watch call.
        runtime::duration watch_timeout = std::chrono::milliseconds(1200);
        /// Longest time without news from a peer: the peer may be frozen.
        runtime::duration news_timeout = std::chrono::milliseconds(900);
        /// Longest time since the service confirmed the news of a peer: the
        /// peer may be cut off from the service. Covers one watch call and the
        /// way of its answer.
        runtime::duration max_age = std::chrono::milliseconds(1800);
        /// Addition to the two limits above for each rank.
        runtime::duration timeout_per_rank = std::chrono::milliseconds(120);
        /// Higher ranks use the delay and timeout of this rank.
        std::size_t max_rank = 4;

        /// Returns the options with which each node learns of a change of the
        /// service before `deadline` has passed, also if the node that reads
        /// the service for it is cut off right after an answer. Such a
        /// hand-over takes less time than registrations take to lapse while the
        /// service is away.
        [[nodiscard]] static options for_deadline(runtime::duration deadline);
    };

    news_role(options options, runtime::time_point started_at);

    /// Records news from a peer of the same failure domain, which the service
    /// has confirmed at `confirmed_at`.
    void record_peer_news(runtime::time_point confirmed_at,
                          runtime::time_point now);

    /// Records that a peer of the same failure domain reads the service and has
    /// no confirmed news yet.
    void record_peer_contact(runtime::time_point now);

    /// Returns whether the node of `rank` in its failure domain should read the
    /// service itself. `is_complete` states whether the node holds all items of
    /// the service, whatever their age.
    [[nodiscard]] bool should_follow_service(std::size_t rank, bool is_complete,
                                             runtime::time_point now) const;

private:
    const options options_;
    const runtime::time_point started_at_;
    runtime::time_point last_peer_news_at_;
    runtime::time_point peer_confirmed_at_;
};

} // namespace tamarackhoist::policy

#endif
