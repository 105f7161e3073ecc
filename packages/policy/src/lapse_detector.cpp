#include <tamarackhoist/policy/lapse_detector.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

bool lapse_detector::may_have_lapsed(runtime::time_point confirmed_at,
                                     bool has_call_failed) const
{
    const auto least =
        has_call_failed ? min_absence_after_failure : min_absence;
    return !last_confirmed_at_ || confirmed_at - *last_confirmed_at_ >= least;
}

void lapse_detector::record_confirmation(runtime::time_point confirmed_at)
{
    last_confirmed_at_ =
        std::max(last_confirmed_at_.value_or(confirmed_at), confirmed_at);
}

} // namespace tamarackhoist::policy
