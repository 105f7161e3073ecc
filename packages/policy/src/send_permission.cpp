#include <tamarackhoist/policy/send_permission.hpp>

namespace tamarackhoist::policy
{

const char* to_string(hold_reason reason)
{
    switch (reason) {
    case hold_reason::none:
        return "none";
    case hold_reason::draining:
        return "draining";
    case hold_reason::leaving:
        return "leaving";
    case hold_reason::paused:
        return "paused";
    case hold_reason::gone:
        return "gone";
    }
    return "none";
}

} // namespace tamarackhoist::policy
