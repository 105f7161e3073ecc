#ifndef TAMARACKHOIST_RUNTIME_SNAPSHOT_HPP
#define TAMARACKHOIST_RUNTIME_SNAPSHOT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace tamarackhoist::runtime
{

/// Shared value with read-copy-update semantics: writers replace the whole
/// value, and a reader that copies the pointer keeps that version of the value
/// for as long as it needs it. Thread-safe.
///
/// Each reader thread caches the pointer and its generation, so that reading
/// an unchanged value takes one atomic load and does not touch the shared
/// reference count.
template <typename Value>
class snapshot
{
public:
    using pointer = std::shared_ptr<const Value>;

    explicit snapshot(pointer initial) : value_(std::move(initial)) {}
    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    /// Returns the current value. The reference is valid until this thread
    /// reads the snapshot again; copy the pointer to keep the value longer.
    [[nodiscard]] const pointer& read() const
    {
        thread_local std::unordered_map<std::uint64_t, cached_value> cache;
        auto& local = cache[instance_id_];
        const auto generation = generation_.load(std::memory_order_acquire);
        if (local.generation != generation) {
            const std::lock_guard guard(mutex_);
            local.value = value_;
            local.generation = generation_.load(std::memory_order_relaxed);
        }
        return local.value;
    }

    /// Replaces the value for all later reads.
    void publish(pointer next)
    {
        const std::lock_guard guard(mutex_);
        value_ = std::move(next);
        generation_.fetch_add(1, std::memory_order_release);
    }

private:
    struct cached_value {
        std::uint64_t generation = 0;
        pointer value;
    };

    static std::uint64_t next_instance_id()
    {
        static std::atomic<std::uint64_t> next{1};
        return next.fetch_add(1);
    }

    // Ids are never reused, so that a cache entry of a destroyed snapshot is
    // never mistaken for an entry of a new one.
    const std::uint64_t instance_id_ = next_instance_id();
    mutable std::mutex mutex_;
    pointer value_;
    std::atomic<std::uint64_t> generation_{1};
};

} // namespace tamarackhoist::runtime

#endif
