#ifndef TAMARACKHOIST_RUNTIME_AUDIT_TRAIL_HPP
#define TAMARACKHOIST_RUNTIME_AUDIT_TRAIL_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tamarackhoist::runtime
{

/// What an audit entry records.
enum class audit_kind {
    section_in_force,
    section_refused,
    section_removed,
    member_joined,
    member_left,
    upstream_draining,
    upstream_returned,
};

/// A change as observed by this node.
struct audit_entry {
    std::chrono::system_clock::time_point at;
    audit_kind kind{};
    /// Name of the section, member or upstream that changed.
    std::string subject;
    /// Owning team for sections; empty otherwise.
    std::string owner;
    std::uint64_t old_revision = 0;
    std::uint64_t new_revision = 0;
    /// Reason why a section was refused; empty otherwise.
    std::string detail;
};

/// Returns the name of `kind` as shown to operators.
[[nodiscard]] const char* to_string(audit_kind kind);

/// Bounded history of the latest changes that a node observed. Thread-safe.
class audit_trail
{
public:
    static constexpr std::size_t default_capacity = 4096;

    /// Keeps at most `capacity` entries; `capacity` must not be 0.
    explicit audit_trail(std::size_t capacity = default_capacity);

    /// Records `entry`, dropping the oldest entry when full.
    void record(audit_entry entry);

    /// Returns a copy of all entries, oldest first.
    [[nodiscard]] std::vector<audit_entry> entries() const;

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<audit_entry> entries_;
};

} // namespace tamarackhoist::runtime

#endif
