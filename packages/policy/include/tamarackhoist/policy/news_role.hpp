#ifndef TAMARACKHOIST_POLICY_NEWS_ROLE_HPP
#define TAMARACKHOIST_POLICY_NEWS_ROLE_HPP

#include <cstddef>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Decides whether a node follows the configuration service itself. In each
/// failure domain the node of rank 0 does and tells the others; a node that
/// hears nothing recent follows by itself, those of low rank first. Freshness
/// decides, not membership: a wrong rank costs calls, never old news.
class news_role
{
public:
    struct options {
        /// Time in which a started node finds its peers and asks them.
        runtime::duration start_grace = std::chrono::milliseconds(150);
        /// Further patience of a started node for each rank.
        runtime::duration start_step = std::chrono::milliseconds(100);
        /// Age of the last news from a peer that is still recent.
        runtime::duration freshness = std::chrono::milliseconds(900);
        /// Further patience for each rank.
        runtime::duration rank_step = std::chrono::milliseconds(150);
        /// Ranks above this one are not more patient.
        std::size_t max_rank = 4;
    };

    news_role(options options, runtime::time_point started_at);

    /// A peer of the own failure domain told what the service confirmed
    /// within `max_age`.
    void heard_from_peer(runtime::time_point now);

    /// `is_complete` tells whether the node knows all that the service holds,
    /// of whatever age.
    [[nodiscard]] bool follows_service(std::size_t rank, bool is_complete,
                                       runtime::time_point now) const;

private:
    const options options_;
    const runtime::time_point started_at_;
    runtime::time_point heard_at_;
};

} // namespace tamarackhoist::policy

#endif
