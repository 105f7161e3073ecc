#include <tamarackhoist/platform/store_calls.hpp>

namespace tamarackhoist::platform
{

const char* to_string(store_error error)
{
    switch (error) {
    case store_error::unavailable:
        return "no usable answer";
    case store_error::refused:
        return "turned away";
    case store_error::history_lost:
        return "history lost";
    case store_error::answer_too_large:
        return "answer too large";
    case store_error::outdated:
        return "answer of an earlier era";
    }
    return "no usable answer";
}

} // namespace tamarackhoist::platform
