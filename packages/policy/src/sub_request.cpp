#include <tamarackhoist/policy/sub_request.hpp>

namespace tamarackhoist::policy
{

const char* to_string(refusal reason)
{
    switch (reason) {
    case refusal::none:
        return "none";
    case refusal::draining:
        return "draining";
    case refusal::no_time:
        return "no_time";
    case refusal::busy:
        return "busy";
    case refusal::cancelled:
        return "cancelled";
    case refusal::not_connected:
        return "not_connected";
    case refusal::not_owner:
        return "not_owner";
    case refusal::node_leaving:
        return "node_leaving";
    case refusal::node_resumed:
        return "node_resumed";
    case refusal::queue_full:
        return "queue_full";
    }
    return "unknown";
}

} // namespace tamarackhoist::policy
