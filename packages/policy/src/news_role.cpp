#include <tamarackhoist/policy/news_role.hpp>

#include <algorithm>
#include <tamarackhoist/policy/lapse_detector.hpp>

namespace tamarackhoist::policy
{

namespace
{

/// Shares of the deadline, in percent. What the age and the delays of all ranks
/// leave is for the first answer to the node that takes over, which brings the
/// changes at once.
constexpr int watch_percent = 40;
constexpr int silence_percent = 30;
constexpr int age_percent = 60;
constexpr int rank_percent = 4;
/// Share of the deadline within which a node of any rank has taken over and has
/// had an answer.
constexpr int hand_over_percent = 80;
/// With a longer deadline, a hand-over could not be told from an absence of the
/// service.
constexpr runtime::duration max_deadline =
    lapse_detector::min_absence / hand_over_percent * 100;

} // namespace

news_role::options news_role::options::for_deadline(runtime::duration deadline)
{
    const auto percent = std::min(deadline, max_deadline) / 100;
    options result;
    result.watch_timeout = percent * watch_percent;
    // A reader that is silent is noticed by the age of its news as well.
    result.news_timeout = deadline / 100 * silence_percent;
    result.max_age = percent * age_percent;
    result.timeout_per_rank = percent * rank_percent;
    return result;
}

news_role::news_role(options options, runtime::time_point started_at)
    : options_(options), started_at_(started_at),
      last_peer_news_at_(started_at), peer_confirmed_at_(started_at)
{
}

void news_role::record_peer_news(runtime::time_point confirmed_at,
                                 runtime::time_point now)
{
    record_peer_contact(now);
    peer_confirmed_at_ = std::max(peer_confirmed_at_, confirmed_at);
}

void news_role::record_peer_contact(runtime::time_point now)
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
    const auto rank_delay = options_.timeout_per_rank * capped_rank;
    return now - last_peer_news_at_ > options_.news_timeout + rank_delay ||
           now - peer_confirmed_at_ > options_.max_age + rank_delay;
}

} // namespace tamarackhoist::policy
