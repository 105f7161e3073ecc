#ifndef TAMARACKHOIST_RUNTIME_SNAPSHOT_HPP
#define TAMARACKHOIST_RUNTIME_SNAPSHOT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace tamarackhoist::runtime
{

/// Read-copy-update cell. Writers replace the whole value; readers keep the
/// value that they obtained for as long as they need it.
///
/// A reader thread caches the pointer together with the generation it was
/// read at, so that an unchanged value costs one atomic load and no shared
/// reference count.
template <typename Value>
class snapshot
{
public:
    using pointer = std::shared_ptr<const Value>;

    explicit snapshot(pointer initial) : value_(std::move(initial)) {}
    snapshot(const snapshot&) = delete;
    snapshot& operator=(const snapshot&) = delete;

    /// Returns the current value.
    [[nodiscard]] const pointer& read() const
    {
        thread_local std::unordered_map<std::uint64_t, cached> cache;
        auto& local = cache[identity_];
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
    struct cached {
        std::uint64_t generation = 0;
        pointer value;
    };

    static std::uint64_t next_identity()
    {
        static std::atomic<std::uint64_t> next{1};
        return next.fetch_add(1);
    }

    // Identities are never reused, so a cache entry of a destroyed cell can
    // never be mistaken for an entry of a new one.
    const std::uint64_t identity_ = next_identity();
    mutable std::mutex mutex_;
    pointer value_;
    std::atomic<std::uint64_t> generation_{1};
};

} // namespace tamarackhoist::runtime

#endif
