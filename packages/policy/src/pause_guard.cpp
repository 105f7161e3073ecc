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
    const auto before = observed_at_.exchange(ticks);
    if (ticks - before < pause_gap.count()) {
        return false;
    }
    resumed_at_.store(ticks);
    is_confirmed_.store(false);
    return true;
}

void pause_guard::on_peer_heard(runtime::time_point sent_at)
{
    if (sent_at.time_since_epoch().count() >= resumed_at_.load()) {
        is_confirmed_.store(true);
    }
}

bool pause_guard::is_trusted(runtime::time_point now) const
{
    const auto resumed = resumed_at_.load();
    if (resumed == 0) {
        return true;
    }
    const auto since =
        runtime::duration(now.time_since_epoch().count() - resumed);
    if (since < quarantine) {
        return false;
    }
    return is_confirmed_.load() || since >= lonely_quarantine;
}

} // namespace tamarackhoist::policy
