#ifndef TAMARACKHOIST_POLICY_CONNECTION_LIMITER_HPP
#define TAMARACKHOIST_POLICY_CONNECTION_LIMITER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace tamarackhoist::policy
{

/// What a caller's connection is doing.
enum class connection_phase {
    /// Has not sent anything yet.
    unused,
    /// Waits for its next request.
    idle,
    /// Has sent a part of a request.
    receiving,
    /// Waits for the answer to its request.
    serving,
    /// Has not read its answer completely.
    sending,
    /// Has got its last answer and is about to be closed.
    closing
};

/// Limits the connections of a node's callers and the memory that they hold
/// together. When a limit is reached, chooses the connection that makes room:
/// the one that has kept the node waiting longest, so that callers that send
/// and read without pause are still served beside many that don't. Requests in
/// service are never chosen. Not thread-safe.
class connection_limiter
{
public:
    using connection_id = std::uint64_t;

    struct limits {
        std::size_t max_connections = 0;
        /// Limit of the memory held by requests, until they are answered.
        std::size_t max_request_bytes = 0;
        /// Limit of the memory held by answers that callers haven't read yet.
        std::size_t max_answer_bytes = 0;
    };

    /// Bytes that each connection may hold without being counted, so that
    /// ordinary requests never compete for memory.
    static constexpr std::size_t uncounted_bytes = 4 * 1024;

    explicit connection_limiter(limits limits) : limits_(limits) {}

    /// Adds a connection, in phase `unused`, whatever the limits.
    [[nodiscard]] connection_id add();
    void remove(connection_id connection);
    void set_phase(connection_id connection, connection_phase phase);
    /// Sets the number of bytes that the connection holds now.
    void set_held_bytes(connection_id connection, std::size_t bytes);

    [[nodiscard]] std::size_t connection_count() const
    {
        return entries_.size();
    }
    [[nodiscard]] bool has_room_for_connection() const
    {
        return entries_.size() < limits_.max_connections;
    }
    /// Returns whether there is room for what the connection holds: it is not
    /// counted, or all that is counted is within the limits. One that is alone
    /// always has room, so that every size is served in calm.
    [[nodiscard]] bool has_room_for_bytes(connection_id connection) const;
    /// Counted bytes of requests and answers.
    [[nodiscard]] std::size_t counted_bytes() const;

    /// Returns the connection to close so that another can be accepted;
    /// nothing if all of them wait for the node.
    [[nodiscard]] std::optional<connection_id> choose_to_disconnect() const;
    /// Returns the connection that must give up its request or answer; nothing
    /// while there is room, or if only requests in service hold memory.
    [[nodiscard]] std::optional<connection_id> choose_to_release() const;

private:
    static constexpr std::size_t phase_count = 6;

    struct entry {
        connection_phase phase = connection_phase::unused;
        /// Position in the order in which connections entered their phase.
        std::uint64_t entered = 0;
        std::size_t counted_bytes = 0;
    };
    /// Connections by the order in which they entered their phase.
    using waiting_line = std::map<std::uint64_t, connection_id>;
    /// What is held by requests, or by answers.
    struct memory_use {
        std::size_t bytes = 0;
        std::size_t holder_count = 0;
        /// Holders that can be given up.
        waiting_line releasable;
    };

    void enlist(connection_id connection, const entry& listed);
    void delist(const entry& listed);
    [[nodiscard]] const waiting_line& line(connection_phase phase) const;
    [[nodiscard]] const memory_use& memory_of(connection_phase phase) const;
    [[nodiscard]] memory_use& memory_of(connection_phase phase);
    [[nodiscard]] static bool is_exceeded(const memory_use& use,
                                          std::size_t max_bytes);

    const limits limits_;
    connection_id next_connection_ = 1;
    std::uint64_t next_entered_ = 1;
    std::unordered_map<connection_id, entry> entries_;
    std::array<waiting_line, phase_count> lines_;
    memory_use requests_;
    memory_use answers_;
};

} // namespace tamarackhoist::policy

#endif
