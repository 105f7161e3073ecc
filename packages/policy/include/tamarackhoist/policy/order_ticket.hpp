#ifndef TAMARACKHOIST_POLICY_ORDER_TICKET_HPP
#define TAMARACKHOIST_POLICY_ORDER_TICKET_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tamarackhoist/policy/identifier.hpp>

namespace tamarackhoist::policy
{

/// Idempotency key of one non-idempotent request, issued by a node.
///
/// The ticket names the node incarnation that issued it. Only that
/// incarnation runs the request, and it records whether it did.
struct order_ticket {
    node_id issuer;
    std::uint64_t incarnation = 0;
    /// Random 128-bit token, so that a ticket cannot be guessed.
    std::uint64_t token_high = 0;
    std::uint64_t token_low = 0;

    /// Parses the text form; returns nothing when `text` is not a ticket.
    [[nodiscard]] static std::optional<order_ticket>
    parse(std::string_view text);

    /// Returns the text form: `t1` and four words of 16 hexadecimal digits,
    /// separated by `-`.
    [[nodiscard]] std::string to_text() const;

    auto operator<=>(const order_ticket&) const = default;
};

} // namespace tamarackhoist::policy

#endif
