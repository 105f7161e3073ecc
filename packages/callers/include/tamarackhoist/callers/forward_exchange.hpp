#ifndef TAMARACKHOIST_CALLERS_FORWARD_EXCHANGE_HPP
#define TAMARACKHOIST_CALLERS_FORWARD_EXCHANGE_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <tamarackhoist/runtime/time.hpp>
#include <tamarackhoist/transport/http_message.hpp>
#include <vector>

namespace tamarackhoist::callers
{

/// Header field of an answer.
struct answer_field {
    std::string name;
    std::string value;
};

/// HTTP response to a caller.
struct forward_answer {
    unsigned status = 500;
    /// Reason phrase of the status line.
    std::string reason;
    /// Header fields besides Connection and Content-Length, which the server
    /// adds.
    std::vector<answer_field> fields;
    std::string body;
    /// Closes the connection after the answer, so that the caller's next
    /// connection may reach another node.
    bool ends_connection = false;
};

/// A complete request of a caller and the means to answer it.
class forward_exchange
{
public:
    forward_exchange() = default;
    forward_exchange(const forward_exchange&) = delete;
    forward_exchange& operator=(const forward_exchange&) = delete;
    virtual ~forward_exchange() = default;

    [[nodiscard]] virtual const transport::http_request& request() const = 0;

    /// Time at which the request had been read completely.
    [[nodiscard]] virtual runtime::time_point received_at() const = 0;

    /// Whether this is the first request on the caller's connection.
    [[nodiscard]] virtual bool is_first_on_connection() const = 0;

    /// Counts memory that the node holds for the request until it is answered,
    /// besides the request itself. Returns false if there is no room for it.
    /// The request is then to be refused.
    [[nodiscard]] virtual bool try_hold(std::size_t bytes) = 0;

    /// Sends the answer. Only the first call has an effect, and none once the
    /// caller has disconnected.
    virtual void respond(forward_answer answer) = 0;

    /// Sets the function to call if the caller disconnects before the answer.
    virtual void on_abandoned(std::function<void()> handle) = 0;
};

} // namespace tamarackhoist::callers

#endif
