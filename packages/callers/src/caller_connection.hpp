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
    caller_connection(std::shared_ptr<forward_server> server,
                      boost::asio::ip::tcp::socket socket);

    void start();
    [[nodiscard]] bool is_idle() const;
    void close();

private:
    class exchange;
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// `lingering` is the state after the last answer, in which the caller may
    /// still be sending.
    enum class state { reading, handling, writing, lingering, closed };

    void start_next_request();
    void read();
    void handle_read(boost::system::error_code error, std::string_view bytes);
    /// Drops data that arrives after the last answer, up to the size of a
    /// request.
    void discard(std::size_t bytes);
    void parse();
    [[nodiscard]] bool has_unsupported_transfer_coding() const;
    void handle_complete_request();
    void reject(unsigned status, std::string reason);
    void respond(forward_answer answer);
    void write();
    void finish_write();
    void arm_timer(runtime::duration delay);
    void handle_timeout();
    void abandon();
    [[nodiscard]] std::string serialize(const forward_answer& answer,
                                        bool keep_alive) const;

    const std::shared_ptr<forward_server> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    policy::request_limits limits_;
    std::optional<parser_type> parser_;
    std::string unparsed_;
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
