#include <tamarackhoist/policy/news_role.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

news_role::news_role(options options, runtime::time_point started_at)
    : options_(options), started_at_(started_at), heard_at_(started_at)
{
}

void news_role::heard_from_peer(runtime::time_point now)
{
    heard_at_ = now;
}

bool news_role::follows_service(std::size_t rank, bool is_complete,
                                runtime::time_point now) const
{
    const auto steps = static_cast<int>(std::min(rank, options_.max_rank));
    if (!is_complete || rank == 0) {
        return now - started_at_ >=
               options_.start_grace + options_.start_step * steps;
    }
    return now - heard_at_ > options_.freshness + options_.rank_step * steps;
}

} // namespace tamarackhoist::policy
