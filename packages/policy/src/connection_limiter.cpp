#include <tamarackhoist/policy/connection_limiter.hpp>

#include <algorithm>

namespace tamarackhoist::policy
{

connection_limiter::connection_id connection_limiter::add()
{
    const auto connection = next_connection_++;
    auto& added = entries_[connection];
    added.entered = next_entered_++;
    enlist(connection, added);
    return connection;
}

void connection_limiter::remove(connection_id connection)
{
    const auto found = entries_.find(connection);
    if (found == entries_.end()) {
        return;
    }
    delist(found->second);
    entries_.erase(found);
}

void connection_limiter::set_phase(connection_id connection,
                                   connection_phase phase)
{
    auto& changed = entries_.at(connection);
    if (changed.phase == phase) {
        return;
    }
    delist(changed);
    changed.phase = phase;
    changed.entered = next_entered_++;
    enlist(connection, changed);
}

void connection_limiter::set_held_bytes(connection_id connection,
                                        std::size_t bytes)
{
    const auto counted = bytes - std::min(bytes, uncounted_bytes);
    auto& changed = entries_.at(connection);
    if (changed.counted_bytes == counted) {
        return;
    }
    delist(changed);
    changed.counted_bytes = counted;
    enlist(connection, changed);
}

void connection_limiter::enlist(connection_id connection, const entry& listed)
{
    lines_.at(static_cast<std::size_t>(listed.phase))
        .emplace(listed.entered, connection);
    if (listed.counted_bytes == 0) {
        return;
    }
    auto& use = memory_of(listed.phase);
    use.bytes += listed.counted_bytes;
    ++use.holder_count;
    if (listed.phase == connection_phase::receiving ||
        listed.phase == connection_phase::sending) {
        use.releasable.emplace(listed.entered, connection);
    }
}

void connection_limiter::delist(const entry& listed)
{
    lines_.at(static_cast<std::size_t>(listed.phase)).erase(listed.entered);
    if (listed.counted_bytes == 0) {
        return;
    }
    auto& use = memory_of(listed.phase);
    use.bytes -= listed.counted_bytes;
    --use.holder_count;
    use.releasable.erase(listed.entered);
}

const connection_limiter::memory_use&
connection_limiter::memory_of(connection_phase phase) const
{
    return phase == connection_phase::sending ? answers_ : requests_;
}

connection_limiter::memory_use&
connection_limiter::memory_of(connection_phase phase)
{
    return phase == connection_phase::sending ? answers_ : requests_;
}

const connection_limiter::waiting_line&
connection_limiter::line(connection_phase phase) const
{
    return lines_.at(static_cast<std::size_t>(phase));
}

bool connection_limiter::is_exceeded(const memory_use& use,
                                     std::size_t max_bytes)
{
    return use.bytes > max_bytes && use.holder_count > 1;
}

bool connection_limiter::has_room_for_bytes(connection_id connection) const
{
    const auto& holder = entries_.at(connection);
    const auto max_bytes = holder.phase == connection_phase::sending
                               ? limits_.max_answer_bytes
                               : limits_.max_request_bytes;
    return holder.counted_bytes == 0 ||
           !is_exceeded(memory_of(holder.phase), max_bytes);
}

std::size_t connection_limiter::counted_bytes() const
{
    return requests_.bytes + answers_.bytes;
}

std::optional<connection_limiter::connection_id>
connection_limiter::choose_to_disconnect() const
{
    const auto& closing = line(connection_phase::closing);
    if (!closing.empty()) {
        return closing.begin()->second;
    }
    // Connections without a complete request come before those that have
    // proved to be in use.
    const auto& unused = line(connection_phase::unused);
    const auto& receiving = line(connection_phase::receiving);
    if (!unused.empty() && (receiving.empty() ||
                            unused.begin()->first < receiving.begin()->first)) {
        return unused.begin()->second;
    }
    for (const auto phase :
         {connection_phase::receiving, connection_phase::idle,
          connection_phase::sending}) {
        if (!line(phase).empty()) {
            return line(phase).begin()->second;
        }
    }
    return std::nullopt;
}

std::optional<connection_limiter::connection_id>
connection_limiter::choose_to_release() const
{
    if (is_exceeded(requests_, limits_.max_request_bytes) &&
        !requests_.releasable.empty()) {
        return requests_.releasable.begin()->second;
    }
    if (is_exceeded(answers_, limits_.max_answer_bytes) &&
        !answers_.releasable.empty()) {
        return answers_.releasable.begin()->second;
    }
    return std::nullopt;
}

} // namespace tamarackhoist::policy
