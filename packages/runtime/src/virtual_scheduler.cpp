#include <tamarackhoist/runtime/virtual_scheduler.hpp>

#include <algorithm>
#include <utility>

namespace tamarackhoist::runtime
{

bool virtual_scheduler::is_due_later::operator()(const entry& left,
                                                 const entry& right) const
{
    if (left.due != right.due) {
        return left.due > right.due;
    }
    return left.sequence > right.sequence;
}

void virtual_scheduler::at(time_point due, callback action)
{
    queue_.push({std::max(due, now()), next_sequence_, std::move(action)});
    ++next_sequence_;
}

void virtual_scheduler::after(duration delay, callback action)
{
    at(now() + delay, std::move(action));
}

void virtual_scheduler::run_until(time_point end)
{
    while (!queue_.empty() && queue_.top().due <= end) {
        // The order of the queue does not depend on the action, so moving it
        // out of the top entry is safe.
        auto action = std::move(const_cast<entry&>(queue_.top()).action);
        clock_.advance_to(queue_.top().due);
        queue_.pop();
        ++executed_;
        action();
    }
    clock_.advance_to(end);
}

} // namespace tamarackhoist::runtime
