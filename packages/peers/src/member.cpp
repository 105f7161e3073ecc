#include <tamarackhoist/peers/member.hpp>

#include <tuple>

namespace tamarackhoist::peers
{

namespace
{

/// Precedence of states at equal incarnation and refutation. The worse state
/// wins, so only the member itself can override it.
int precedence(member_state state)
{
    switch (state) {
    case member_state::alive:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

} // namespace

const char* to_string(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

bool supersedes(const member& left, const member& right)
{
    return std::tuple(left.incarnation, left.refutation,
                      precedence(left.state)) >
           std::tuple(right.incarnation, right.refutation,
                      precedence(right.state));
}

} // namespace tamarackhoist::peers
