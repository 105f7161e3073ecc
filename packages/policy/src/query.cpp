#include <tamarackhoist/policy/query.hpp>

namespace tamarackhoist::policy
{

const char* to_string(query_status status)
{
    switch (status) {
    case query_status::complete:
        return "complete";
    case query_status::partial:
        return "partial";
    case query_status::not_run:
        return "not_run";
    case query_status::failed:
        return "failed";
    }
    return "unknown";
}

const char* to_string(missing_reason reason)
{
    switch (reason) {
    case missing_reason::no_shard:
        return "no_shard";
    case missing_reason::deadline:
        return "deadline";
    case missing_reason::overloaded:
        return "overloaded";
    case missing_reason::draining:
        return "draining";
    case missing_reason::not_connected:
        return "not_connected";
    case missing_reason::version_unavailable:
        return "version_unavailable";
    case missing_reason::moved:
        return "moved";
    case missing_reason::lost_reply:
        return "lost_reply";
    case missing_reason::withheld:
        return "withheld";
    }
    return "unknown";
}

} // namespace tamarackhoist::policy
