#ifndef TAMARACKHOIST_POLICY_PEER_INQUIRY_HPP
#define TAMARACKHOIST_POLICY_PEER_INQUIRY_HPP

#include <cstddef>
#include <tamarackhoist/runtime/time.hpp>

namespace tamarackhoist::policy
{

/// Decides when a node that has listed a restored service asks a peer what the
/// service has lost. It asks more than one, as a peer may know as little.
class peer_inquiry
{
public:
    /// Starts to ask, or starts anew.
    void start(runtime::time_point now);

    /// Returns whether to ask a peer now, and records that one is asked.
    [[nodiscard]] bool try_ask(runtime::time_point now);

    /// Records an answer of a peer that has listed the restored service too.
    void record_answer();

private:
    static constexpr std::size_t answers_needed = 2;
    static constexpr runtime::duration timeout = std::chrono::seconds(3);
    static constexpr runtime::duration interval =
        std::chrono::milliseconds(300);

    std::size_t answers_missing_ = 0;
    runtime::time_point started_at_{};
    runtime::time_point last_asked_at_{};
};

} // namespace tamarackhoist::policy

#endif
