#include "caller_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <tamarackhoist/runtime/event.hpp>
#include <tamarackhoist/transport/read_available.hpp>

namespace tamarackhoist::callers
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Limit of the data buffered for later requests while one is answered; reading
/// pauses at it.
constexpr std::size_t max_pipelined_bytes =
    policy::connection_limiter::uncounted_bytes;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_header_too_large = 431;

} // namespace

/// A request of the connection, which is released with its last user. The state
/// is in the connection, so that an answer after the caller has disconnected
/// has no effect.
class caller_connection::exchange : public forward_exchange
{
public:
    exchange(std::shared_ptr<caller_connection> connection,
             transport::http_request request, runtime::time_point received_at)
        : connection_(std::move(connection)), request_(std::move(request)),
          received_at_(received_at), serial_(connection_->request_count_)
    {
    }

    const transport::http_request& request() const override { return request_; }

    runtime::time_point received_at() const override { return received_at_; }

    bool is_first_on_connection() const override { return serial_ == 1; }

    bool try_hold(std::size_t bytes) override
    {
        return !is_open() || connection_->try_hold(bytes);
    }

    void respond(forward_answer answer) override
    {
        if (is_open()) {
            connection_->respond(std::move(answer));
        }
    }

    void on_abandoned(std::function<void()> handle) override
    {
        connection_->on_abandoned_ = std::move(handle);
    }

private:
    /// Whether the caller still waits for the answer.
    [[nodiscard]] bool is_open() const
    {
        return connection_->state_ == state::handling &&
               connection_->request_count_ == serial_;
    }

    const std::shared_ptr<caller_connection> connection_;
    const transport::http_request request_;
    const runtime::time_point received_at_;
    const std::uint64_t serial_;
};

caller_connection::caller_connection(std::shared_ptr<forward_server> server,
                                     connection_id id, tcp::socket socket)
    : server_(std::move(server)), id_(id), socket_(std::move(socket)),
      timer_(socket_.get_executor())
{
}

void caller_connection::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    start_next_request();
    read();
}

bool caller_connection::is_idle() const
{
    return state_ == state::reading && !has_partial_request_ &&
           unparsed_.empty();
}

void caller_connection::start_next_request()
{
    limits_ = server_->limits_();
    state_ = state::reading;
    has_partial_request_ = false;
    request_bytes_ = 0;
    if (request_count_ > 0) {
        set_phase(policy::connection_phase::idle);
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser_->body_limit(limits_.max_body_bytes);
    parser_->eager(true);
    arm_timer(limits_.idle_timeout);
}

bool caller_connection::is_answering() const
{
    return state_ == state::handling || state_ == state::writing;
}

void caller_connection::read()
{
    const bool is_paused =
        is_answering() && unparsed_.size() >= max_pipelined_bytes;
    if (is_read_pending_ || is_paused || state_ == state::closed) {
        return;
    }
    is_read_pending_ = true;
    auto self = shared_from_this();
    transport::read_available(
        socket_,
        [self](error_code error, std::string_view bytes) {
            self->is_read_pending_ = false;
            if (self->state_ != state::closed) {
                self->handle_read(error, bytes);
            }
        },
        is_answering() ? max_pipelined_bytes - unparsed_.size()
                       : transport::max_read_bytes);
}

void caller_connection::handle_read(error_code error, std::string_view bytes)
{
    if (error) {
        abandon();
        return;
    }
    if (state_ == state::lingering) {
        discard(bytes.size());
        return;
    }
    unparsed_.append(bytes);
    if (state_ == state::reading) {
        parse();
        report_held_bytes();
    }
    read();
}

void caller_connection::discard(std::size_t bytes)
{
    discarded_bytes_ += bytes;
    if (discarded_bytes_ > limits_.max_header_bytes + limits_.max_body_bytes) {
        close();
        return;
    }
    read();
}

std::size_t caller_connection::held_bytes() const
{
    auto bytes = request_bytes_ + unparsed_.capacity() + output_.capacity();
    if (state_ == state::reading && parser_->is_header_done()) {
        bytes += parser_->get().body().capacity();
    }
    return bytes;
}

void caller_connection::report_held_bytes()
{
    if (state_ == state::closed) {
        return;
    }
    server_->limiter_.set_held_bytes(id_, held_bytes());
    server_->make_room_for_bytes();
}

bool caller_connection::try_hold(std::size_t bytes)
{
    request_bytes_ += bytes;
    report_held_bytes();
    return server_->limiter_.has_room_for_bytes(id_);
}

void caller_connection::set_phase(policy::connection_phase phase)
{
    server_->limiter_.set_phase(id_, phase);
}

void caller_connection::parse()
{
    while (state_ == state::reading && !unparsed_.empty()) {
        if (!has_partial_request_) {
            has_partial_request_ = true;
            set_phase(policy::connection_phase::receiving);
            arm_timer(limits_.header_timeout);
        }
        const bool was_header_done = parser_->is_header_done();
        error_code error;
        const auto consumed = parser_->put(asio::buffer(unparsed_), error);
        if (!was_header_done && !parser_->is_header_done()) {
            request_bytes_ += transport::estimate_field_bytes(
                std::string_view(unparsed_).substr(0, consumed));
        }
        unparsed_.erase(0, consumed);
        if (unparsed_.empty()) {
            std::string().swap(unparsed_);
        }
        if (!was_header_done && parser_->is_header_done()) {
            request_bytes_ = transport::count_field_bytes(parser_->get());
            arm_timer(limits_.idle_timeout);
        }
        // The parser leaves incomplete lines to the caller. It limits those of
        // the head, but not chunk headers and trailers.
        const bool is_framing_too_large =
            error == http::error::need_more &&
            unparsed_.size() > limits_.max_header_bytes;
        if (error == http::error::need_more && !is_framing_too_large) {
            return;
        }
        if (error == http::error::header_limit || is_framing_too_large) {
            reject(status_header_too_large, "Request Header Fields Too Large");
            return;
        }
        if (error == http::error::body_limit) {
            reject(status_body_too_large, "Payload Too Large");
            return;
        }
        if (error || has_unsupported_transfer_coding()) {
            reject(status_bad_request, "Bad Request");
            return;
        }
        if (parser_->is_done()) {
            handle_complete_request();
            return;
        }
        if (consumed == 0) {
            return;
        }
    }
}

bool caller_connection::has_unsupported_transfer_coding() const
{
    // If the last transfer coding is not "chunked", Beast assumes that there is
    // no body and would parse the body as further requests (request smuggling).
    if (!parser_->is_header_done()) {
        return false;
    }
    const auto& header = parser_->get();
    const auto coding = header.find(http::field::transfer_encoding);
    return coding != header.end() &&
           !boost::beast::iequals(coding->value(), "chunked");
}

void caller_connection::handle_complete_request()
{
    timer_.cancel();
    set_phase(policy::connection_phase::serving);
    report_held_bytes();
    if (!server_->limiter_.has_room_for_bytes(id_)) {
        refuse_for_want_of_room();
        return;
    }
    auto request = parser_->release();
    request_bytes_ += request.body().capacity();
    unparsed_.shrink_to_fit();
    state_ = state::handling;
    ++request_count_;
    ++server_->in_flight_;
    is_head_ = request.method() == http::verb::head;
    closes_after_answer_ = !request.keep_alive();
    const auto now = server_->clock_.now();
    server_->handle_(std::make_shared<exchange>(shared_from_this(),
                                                std::move(request), now));
}

void caller_connection::reject(unsigned status, std::string reason)
{
    runtime::log_event(runtime::event_number::caller_request_rejected, reason);
    reject({status, std::move(reason), {}, {}, true});
}

void caller_connection::refuse_for_want_of_room()
{
    runtime::log_event(runtime::event_number::caller_request_rejected,
                       "no room for the request beside those of others");
    reject(server_->options_.make_refusal());
}

void caller_connection::reject(forward_answer answer)
{
    timer_.cancel();
    state_ = state::handling;
    ++server_->in_flight_;
    ++request_count_;
    closes_after_answer_ = true;
    parser_.reset();
    std::string().swap(unparsed_);
    request_bytes_ = 0;
    is_head_ = false;
    respond(std::move(answer));
}

void caller_connection::release()
{
    if (state_ == state::reading) {
        refuse_for_want_of_room();
        return;
    }
    runtime::log_event(runtime::event_number::caller_request_rejected,
                       "the caller does not read its answer");
    abandon();
}

void caller_connection::disconnect()
{
    if (state_ == state::reading && has_partial_request_) {
        refuse_for_want_of_room();
    }
    abandon();
}

std::string caller_connection::serialize(const forward_answer& answer,
                                         bool keep_alive) const
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                       answer.reason + "\r\n";
    for (const auto& field : answer.fields) {
        text.append(field.name).append(": ").append(field.value);
        text.append("\r\n");
    }
    if (!keep_alive) {
        text.append("Connection: close\r\n");
    }
    text.append("Content-Length: ")
        .append(std::to_string(answer.body.size()))
        .append("\r\n\r\n");
    if (!is_head_) {
        text.append(answer.body);
    }
    return text;
}

void caller_connection::respond(forward_answer answer)
{
    on_abandoned_ = nullptr;
    state_ = state::writing;
    request_bytes_ = 0;
    set_phase(policy::connection_phase::sending);
    closes_after_answer_ = closes_after_answer_ || answer.ends_connection ||
                           server_->is_draining();
    output_ = serialize(answer, !closes_after_answer_);
    written_bytes_ = 0;
    write();
}

void caller_connection::write()
{
    error_code error;
    written_bytes_ +=
        socket_.write_some(asio::buffer(output_) + written_bytes_, error);
    if (error && error != asio::error::would_block) {
        abandon();
        return;
    }
    if (written_bytes_ == output_.size()) {
        finish_write();
        return;
    }
    arm_timer(limits_.idle_timeout);
    report_held_bytes();
    if (state_ != state::writing) {
        return;
    }
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(output_) + written_bytes_,
                      [self](error_code write_error, std::size_t) {
                          if (self->state_ != state::writing) {
                              return;
                          }
                          if (write_error) {
                              self->abandon();
                              return;
                          }
                          self->finish_write();
                      });
}

void caller_connection::finish_write()
{
    --server_->in_flight_;
    std::string().swap(output_);
    if (closes_after_answer_) {
        error_code ignored;
        // Read and drop what the caller still sends: closing the socket with
        // unread data resets the connection, and the answer may be lost.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        state_ = state::lingering;
        set_phase(policy::connection_phase::closing);
        parser_.reset();
        std::string().swap(unparsed_);
        server_->limiter_.set_held_bytes(id_, 0);
        arm_timer(limits_.header_timeout);
        read();
        return;
    }
    start_next_request();
    server_->limiter_.set_held_bytes(id_, held_bytes());
    if (!unparsed_.empty()) {
        parse_later();
    }
    read();
}

void caller_connection::parse_later()
{
    // Answering each pipelined request from within the answer to the one before
    // would fill the stack and keep other connections waiting.
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self] {
        if (self->state_ == state::reading) {
            self->parse();
            self->report_held_bytes();
        }
    });
}

void caller_connection::arm_timer(runtime::duration delay)
{
    auto self = shared_from_this();
    timer_.expires_after(delay);
    timer_.async_wait([self](error_code error) {
        if (!error) {
            self->handle_timeout();
        }
    });
}

void caller_connection::handle_timeout()
{
    if (state_ == state::reading && has_partial_request_) {
        reject(status_timeout, "Request Timeout");
        return;
    }
    if (state_ != state::handling) {
        abandon();
    }
}

void caller_connection::abandon()
{
    const auto on_abandoned = std::exchange(on_abandoned_, nullptr);
    if (is_answering()) {
        --server_->in_flight_;
    }
    close();
    if (on_abandoned != nullptr) {
        on_abandoned();
    }
}

void caller_connection::close()
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    server_->limiter_.remove(id_);
    server_->connections_.erase(id_);
}

} // namespace tamarackhoist::callers
