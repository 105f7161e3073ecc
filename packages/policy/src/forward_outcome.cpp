#include <tamarackhoist/policy/forward_outcome.hpp>

namespace tamarackhoist::policy
{

const char* to_string(forward_outcome outcome)
{
    switch (outcome) {
    case forward_outcome::complete:
        return "complete";
    case forward_outcome::partial:
        return "partial";
    case forward_outcome::upstream_failure:
        return "upstream_failure";
    case forward_outcome::not_executed:
        return "not_executed";
    case forward_outcome::unknown:
        return "unknown";
    case forward_outcome::timed_out:
        return "timed_out";
    }
    return "unknown";
}

const char* to_string(attempt_result result)
{
    switch (result) {
    case attempt_result::answered:
        return "answered";
    case attempt_result::failed:
        return "failed";
    case attempt_result::not_executed:
        return "not_executed";
    case attempt_result::broken:
        return "broken";
    case attempt_result::not_sent:
        return "not_sent";
    case attempt_result::unreachable:
        return "unreachable";
    }
    return "broken";
}

const char* to_string(decision_kind kind)
{
    switch (kind) {
    case decision_kind::hedged:
        return "hedged";
    case decision_kind::retried:
        return "retried";
    case decision_kind::budget_spent:
        return "budget_spent";
    case decision_kind::no_replica_left:
        return "no_replica_left";
    }
    return "no_replica_left";
}

} // namespace tamarackhoist::policy
