#include <tamarackhoist/upstreams/response_fault.hpp>

namespace tamarackhoist::upstreams
{

std::string_view to_string(response_fault fault)
{
    switch (fault) {
    case response_fault::malformed:
        return "malformed";
    case response_fault::head_too_large:
        return "head_too_large";
    case response_fault::body_too_large:
        return "body_too_large";
    case response_fault::framing_too_large:
        return "framing_too_large";
    case response_fault::too_many_skipped:
        return "too_many_skipped";
    case response_fault::out_of_memory:
        return "out_of_memory";
    case response_fault::unexpected:
        return "unexpected";
    }
    return "malformed";
}

} // namespace tamarackhoist::upstreams
