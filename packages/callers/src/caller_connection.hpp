#ifndef TAMARACKHOIST_CALLERS_CALLER_CONNECTION_HPP
#define TAMARACKHOIST_CALLERS_CALLER_CONNECTION_HPP

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <tamarackhoist/callers/forward_server.hpp>

namespace tamarackhoist::callers
{

/// Connection of one caller. Reads one request at a time, passes it to the
/// server's handler and writes the answer. Keeps reading meanwhile, to detect
/// that the caller disconnects.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    using connection_id = policy::connection_limiter::connection_id;

    caller_connection(std::shared_ptr<forward_server> server, connection_id id,
                      boost::asio::ip::tcp::socket socket);

    void start();
    [[nodiscard]] bool is_idle() const;
    void close();
    /// Gives up the request that is being read or the answer that the caller
    /// doesn't read, to make room for others.
    void release();
    /// Like `release`, and closes the connection.
    void disconnect();

private:
    class exchange;
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// `lingering` is the state after the last answer, in which the caller may
    /// still be sending.
    enum class state { reading, handling, writing, lingering, closed };

    void start_next_request();
    /// Whether a complete request waits for its answer or for its caller to
    /// read it.
    [[nodiscard]] bool is_answering() const;
    void read();
    void handle_read(boost::system::error_code error, std::string_view bytes);
    void parse();
    /// Parses the pipelined requests once the current call has returned.
    void parse_later();
    [[nodiscard]] bool has_unsupported_transfer_coding() const;
    void handle_complete_request();
    void reject(unsigned status, std::string reason);
    void reject(forward_answer answer);
    /// Answers the request that is being read with a promise that it has not
    /// run.
    void refuse_for_want_of_room();
    /// Reports the memory that the connection holds. May give up what this
    /// connection or others hold.
    void report_held_bytes();
    [[nodiscard]] bool try_hold(std::size_t bytes);
    /// Drops data that arrives after the last answer, up to the size of a
    /// request.
    void discard(std::size_t bytes);
    [[nodiscard]] std::size_t held_bytes() const;
    void set_phase(policy::connection_phase phase);
    void respond(forward_answer answer);
    void write();
    void finish_write();
    void arm_timer(runtime::duration delay);
    void handle_timeout();
    void abandon();
    [[nodiscard]] std::string serialize(const forward_answer& answer,
                                        bool keep_alive) const;

    const std::shared_ptr<forward_server> server_;
    const connection_id id_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    policy::request_limits limits_;
    std::optional<parser_type> parser_;
    std::string unparsed_;
    /// Memory held by the header fields and the body of the request in service
    /// or, without the body, of the one that is being read.
    std::size_t request_bytes_ = 0;
    std::string output_;
    std::size_t written_bytes_ = 0;
    std::size_t discarded_bytes_ = 0;
    std::function<void()> on_abandoned_;
    std::uint64_t request_count_ = 0;
    state state_ = state::reading;
    bool has_partial_request_ = false;
    /// Whether the answer in progress is one to HEAD, which has no body.
    bool is_head_ = false;
    bool is_read_pending_ = false;
    bool closes_after_answer_ = false;
};

} // namespace tamarackhoist::callers

#endif
