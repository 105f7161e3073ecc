#ifndef TAMARACKHOIST_CALLERS_FORWARD_EXCHANGE_HPP
#define TAMARACKHOIST_CALLERS_FORWARD_EXCHANGE_HPP

#include <functional>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/http_message.hpp>
#include <vector>

namespace tamarackhoist::callers
{

/// One header field of an answer, as it is written.
struct answer_field {
    std::string name;
    std::string value;
};

/// Answer to a caller.
struct forward_answer {
    unsigned status = 500;
    std::string reason;
    std::vector<answer_field> fields;
    std::string body;
    /// Ends the connection after the answer, so that the caller's next one
    /// may go to another node.
    bool ends_connection = false;
};

/// A request that was read whole from a caller and waits for its answer.
class forward_exchange
{
public:
    forward_exchange() = default;
    forward_exchange(const forward_exchange&) = delete;
    forward_exchange& operator=(const forward_exchange&) = delete;
    virtual ~forward_exchange() = default;

    [[nodiscard]] virtual const transport::http_request& request() const = 0;

    /// When the last byte of the request had been read.
    [[nodiscard]] virtual runtime::time_point received_at() const = 0;

    /// Whether the caller opened the connection for this request.
    [[nodiscard]] virtual bool is_first_on_connection() const = 0;

    /// Answers the request; called once at most.
    virtual void respond(forward_answer answer) = 0;

    /// Calls `handle` if the caller goes away before the answer.
    virtual void on_abandoned(std::function<void()> handle) = 0;
};

} // namespace tamarackhoist::callers

#endif
