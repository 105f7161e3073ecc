#include <tamarackhoist/policy/lapse_detector.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

bool lapse_detector::record_confirmation(runtime::time_point confirmed_at)
{
    const auto before = last_confirmed_at_;
    last_confirmed_at_ = std::max(before.value_or(confirmed_at), confirmed_at);
    return !before || confirmed_at - *before >= min_absence;
}

} // namespace tamarackhoist::policy
