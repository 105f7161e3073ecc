#include <tamarackhoist/runtime/audit_trail.hpp>

#include <cassert>
#include <utility>

namespace tamarackhoist::runtime
{

const char* to_string(audit_kind kind)
{
    switch (kind) {
    case audit_kind::section_in_force:
        return "section_in_force";
    case audit_kind::section_refused:
        return "section_refused";
    case audit_kind::section_removed:
        return "section_removed";
    case audit_kind::member_joined:
        return "member_joined";
    case audit_kind::member_left:
        return "member_left";
    case audit_kind::upstream_draining:
        return "upstream_draining";
    case audit_kind::upstream_returned:
        return "upstream_returned";
    }
    return "unknown";
}

audit_trail::audit_trail(std::size_t capacity) : capacity_(capacity)
{
    assert(capacity > 0);
}

void audit_trail::record(audit_entry entry)
{
    const std::lock_guard guard(mutex_);
    if (entries_.size() == capacity_) {
        entries_.pop_front();
    }
    entries_.push_back(std::move(entry));
}

std::vector<audit_entry> audit_trail::entries() const
{
    const std::lock_guard guard(mutex_);
    return {entries_.begin(), entries_.end()};
}

} // namespace tamarackhoist::runtime
