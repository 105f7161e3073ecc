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

/// One caller's connection. Reads a request, hands it on, writes the answer,
/// and watches meanwhile whether the caller goes away.
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

    enum class state { reading, handling, writing, closed };

    void begin_request();
    void read();
    void read_ended(boost::system::error_code error, std::string_view bytes);
    void parse();
    [[nodiscard]] bool has_unknown_coding() const;
    void request_complete();
    void reject(unsigned status, std::string reason);
    void respond(forward_answer answer);
    void write();
    void write_ended();
    void arm_timer(runtime::duration delay);
    void time_out();
    void abandon();
    [[nodiscard]] std::string serialize(const forward_answer& answer,
                                        bool keep_alive) const;

    const std::shared_ptr<forward_server> server_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    policy::request_limits limits_;
    std::optional<parser_type> parser_;
    std::string unparsed_;
    transport::http_request request_;
    std::string output_;
    std::size_t written_ = 0;
    std::function<void()> abandoned_;
    std::uint64_t request_count_ = 0;
    state state_ = state::reading;
    bool has_partial_request_ = false;
    bool is_reading_ = false;
    bool closes_after_answer_ = false;
};

} // namespace tamarackhoist::callers

#endif
