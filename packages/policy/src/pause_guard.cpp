#include <tamarackhoist/policy/pause_guard.hpp>

namespace tamarackhoist::policy
{

pause_guard::pause_guard(runtime::time_point now)
    : observed_at_(now.time_since_epoch().count())
{
}

bool pause_guard::observe(runtime::time_point now)
{
    const auto ticks = now.time_since_epoch().count();
    const auto previous = observed_at_.exchange(ticks);
    if (ticks - previous < min_pause.count()) {
        return false;
    }
    resumed_at_.store(ticks);
    has_peer_answered_.store(false);
    return true;
}

void pause_guard::on_peer_heard(runtime::time_point sent_at)
{
    if (sent_at.time_since_epoch().count() >= resumed_at_.load()) {
        has_peer_answered_.store(true);
    }
}

bool pause_guard::can_start_work(runtime::time_point now) const
{
    const auto resumed = resumed_at_.load();
    if (resumed == 0) {
        return true;
    }
    const auto elapsed =
        runtime::duration(now.time_since_epoch().count() - resumed);
    if (elapsed < min_quarantine) {
        return false;
    }
    return has_peer_answered_.load() || elapsed >= max_quarantine;
}

} // namespace tamarackhoist::policy
