#include <tamarackhoist/upstreams/forward_connection.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <charconv>
#include <tamarackhoist/transport/read_available.hpp>
#include <tamarackhoist/transport/socket_options.hpp>

namespace tamarackhoist::upstreams
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace
{

/// TCP closes the connection once sent data stays unacknowledged this long.
constexpr auto unacknowledged_timeout = 2500ms;
/// An idle connection counts as stale this long before the upstream's idle
/// timeout, so that the upstream doesn't close it under a new request.
constexpr runtime::duration idle_timeout_margin = 500ms;

} // namespace

std::shared_ptr<forward_connection>
forward_connection::create(asio::io_context& context, runtime::clock clock,
                           options options, std::function<void(bool)> on_opened,
                           std::function<void()> on_closed)
{
    std::shared_ptr<forward_connection> created(
        new forward_connection(context, std::move(clock), std::move(options),
                               std::move(on_opened), std::move(on_closed)));
    created->start_connect();
    return created;
}

forward_connection::forward_connection(asio::io_context& context,
                                       runtime::clock clock, options options,
                                       std::function<void(bool)> on_opened,
                                       std::function<void()> on_closed)
    : socket_(context), connect_timer_(context), clock_(std::move(clock)),
      options_(std::move(options)), on_opened_(std::move(on_opened)),
      on_closed_(std::move(on_closed)), reader_(options_.responses)
{
}

void forward_connection::start_connect()
{
    auto self = shared_from_this();
    error_code error;
    const auto address = asio::ip::make_address(options_.target.address, error);
    if (error) {
        asio::post(socket_.get_executor(),
                   [self] { self->finish_connect(false); });
        return;
    }
    connect_timer_.expires_after(options_.connect_timeout);
    connect_timer_.async_wait([self](error_code timer_error) {
        if (!timer_error) {
            self->finish_connect(false);
        }
    });
    socket_.async_connect({address, options_.target.port},
                          [self](error_code connect_error) {
                              self->finish_connect(!connect_error);
                          });
}

void forward_connection::finish_connect(bool is_open)
{
    if (on_opened_ == nullptr) {
        return;
    }
    connect_timer_.cancel();
    const auto on_opened = std::exchange(on_opened_, nullptr);
    if (is_open) {
        is_open_ = true;
        idle_since_ = clock_.now();
        set_socket_options();
        read();
    } else {
        error_code ignored;
        socket_.close(ignored);
        on_closed_ = nullptr;
    }
    on_opened(is_open);
}

void forward_connection::set_socket_options()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    transport::limit_unacknowledged_time(socket_, unacknowledged_timeout);
}

bool forward_connection::is_stale() const
{
    return idle_time() + idle_timeout_margin >= idle_timeout_;
}

runtime::duration forward_connection::idle_time() const
{
    return clock_.now() - idle_since_;
}

void forward_connection::exchange(forward_request request,
                                  result_handler handle)
{
    assert(is_idle());
    is_busy_ = true;
    is_request_written_ = false;
    request_ = std::move(request);
    handle_ = std::move(handle);
    reader_.start(request_.request_id, request_.is_head);
    error_code error;
    const auto written =
        socket_.write_some(asio::buffer(request_.bytes), error);
    if (error && error != asio::error::would_block) {
        auto self = shared_from_this();
        asio::post(socket_.get_executor(), [self] { self->fail(); });
        return;
    }
    if (written == request_.bytes.size()) {
        finish_write();
        return;
    }
    write_remaining(written);
}

void forward_connection::write_remaining(std::size_t written)
{
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(request_.bytes) + written,
                      [self](error_code error, std::size_t) {
                          if (error) {
                              self->fail();
                              return;
                          }
                          self->finish_write();
                      });
}

void forward_connection::finish_write()
{
    is_request_written_ = true;
    std::string().swap(request_.bytes);
}

void forward_connection::read()
{
    auto self = shared_from_this();
    transport::read_available(socket_,
                              [self](error_code error, std::string_view bytes) {
                                  if (self->is_open_) {
                                      self->handle_read(error, bytes);
                                  }
                              });
}

void forward_connection::handle_read(error_code error, std::string_view bytes)
{
    if (error == asio::error::eof && is_busy_ && reader_.has_begun()) {
        // A response without a length ends where the connection ends.
        handle_progress(reader_.read_end());
        return;
    }
    if (error) {
        fail();
        return;
    }
    if (!is_busy_) {
        // Data that arrives on an idle connection belongs to no request.
        reject(response_fault::unexpected);
        return;
    }
    handle_progress(reader_.read(bytes));
    if (is_open_) {
        read();
    }
}

void forward_connection::handle_progress(response_reader::progress progress)
{
    switch (progress) {
    case response_reader::progress::incomplete:
        return;
    case response_reader::progress::complete:
        handle_complete_response();
        return;
    case response_reader::progress::rejected:
        reject(reader_.fault());
        return;
    }
}

void forward_connection::handle_complete_response()
{
    auto handle = std::exchange(handle_, nullptr);
    forward_result result{forward_status::answered, reader_.take_response()};
    const bool is_reusable =
        result.response.keep_alive() && !result.response.need_eof() &&
        is_request_written_ && !reader_.has_excess() && socket_.is_open();
    update_idle_timeout(result.response);
    is_busy_ = false;
    idle_since_ = clock_.now();
    if (!is_reusable) {
        fail();
    }
    handle(std::move(result));
}

void forward_connection::update_idle_timeout(
    const transport::http_response& response)
{
    const auto field = response.find(http::field::keep_alive);
    if (field == response.end()) {
        return;
    }
    const std::string_view text(field->value().data(), field->value().size());
    constexpr std::string_view key = "timeout=";
    const auto position = text.find(key);
    if (position == std::string_view::npos) {
        return;
    }
    unsigned seconds = 0;
    const auto digits = text.substr(position + key.size());
    const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec == std::errc()) {
        idle_timeout_ = std::chrono::seconds(seconds);
    }
}

void forward_connection::reject(response_fault fault)
{
    if (options_.on_rejected) {
        options_.on_rejected(fault);
    }
    fail();
}

void forward_connection::fail()
{
    if (!is_open_) {
        return;
    }
    auto handle = std::exchange(handle_, nullptr);
    close();
    if (handle != nullptr) {
        handle({forward_status::broken, {}});
    }
}

void forward_connection::close()
{
    connect_timer_.cancel();
    on_opened_ = nullptr;
    handle_ = nullptr;
    const bool was_open = std::exchange(is_open_, false);
    error_code ignored;
    socket_.close(ignored);
    const auto on_closed = std::exchange(on_closed_, nullptr);
    if (was_open && on_closed != nullptr) {
        on_closed();
    }
}

} // namespace tamarackhoist::upstreams
