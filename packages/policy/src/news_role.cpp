#include <tamarackhoist/policy/news_role.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

news_role::news_role(options options, runtime::time_point started_at)
    : options_(options), started_at_(started_at), last_peer_news_at_(started_at)
{
}

void news_role::record_peer_news(runtime::time_point now)
{
    last_peer_news_at_ = now;
}

bool news_role::should_follow_service(std::size_t rank, bool is_complete,
                                      runtime::time_point now) const
{
    const auto capped_rank =
        static_cast<int>(std::min(rank, options_.max_rank));
    if (!is_complete || rank == 0) {
        return now - started_at_ >=
               options_.startup_delay +
                   options_.startup_delay_per_rank * capped_rank;
    }
    return now - last_peer_news_at_ >
           options_.news_timeout + options_.timeout_per_rank * capped_rank;
}

} // namespace tamarackhoist::policy
