#include <tamarackhoist/peers/http2_channel.hpp>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cassert>
#include <cstring>
#include <nghttp2/nghttp2.h>
#include <tamarackhoist/transport/socket_options.hpp>
#include <utility>
#include <vector>

namespace tamarackhoist::peers
{

namespace asio = boost::asio;

namespace
{

/// Messages between nodes state the time that is left for them, which is wrong
/// if they arrive late. So they arrive within this time or not at all.
constexpr auto unacknowledged_timeout = std::chrono::milliseconds(1500);
constexpr std::size_t length_prefix_bytes = 4;
/// Status of every response of a node.
constexpr std::string_view accepted_status = "200";
constexpr std::uint32_t max_concurrent_streams = 65536;
constexpr std::int32_t flow_control_window_bytes = 1024 * 1024;

struct named_path {
    call_path path;
    std::string_view text;
};

constexpr std::array named_paths{
    named_path{call_path::sub_requests, "/v1/sub-requests"},
    named_path{call_path::cancel, "/v1/cancel"},
    named_path{call_path::order, "/v1/order"},
    named_path{call_path::document, "/v1/document"},
    named_path{call_path::push, "/v1/push"},
    named_path{call_path::members, "/v1/members"},
    named_path{call_path::relay, "/v1/relay"},
    named_path{call_path::relay_cancel, "/v1/relay-cancel"},
    named_path{call_path::store_pull, "/v1/news"},
    named_path{call_path::store_push, "/v1/news-push"},
};

std::string add_length_prefix(const std::string& message)
{
    const auto length = boost::endian::native_to_big(
        static_cast<std::uint32_t>(message.size()));
    std::string prefixed(length_prefix_bytes, '\0');
    std::memcpy(prefixed.data(), &length, length_prefix_bytes);
    return prefixed.append(message);
}

nghttp2_nv make_header(std::string_view name, std::string_view value)
{
    // nghttp2 takes non-const pointers, but only copies the bytes.
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace

std::string_view to_path(call_path path)
{
    const auto found = std::ranges::find(named_paths, path, &named_path::path);
    return found == named_paths.end() ? "/" : found->text;
}

call_path to_call_path(std::string_view path)
{
    const auto found = std::ranges::find(named_paths, path, &named_path::text);
    return found == named_paths.end() ? call_path::unknown : found->path;
}

/// Callbacks that are registered with nghttp2; `user_data` is the channel.
struct http2_callbacks {
    static http2_channel& get_channel(void* user_data)
    {
        return *static_cast<http2_channel*>(user_data);
    }

    static int on_begin_headers(nghttp2_session*, const nghttp2_frame* frame,
                                void* user_data)
    {
        auto& channel = get_channel(user_data);
        if (channel.role_ == http2_channel::role::server) {
            channel.streams_.try_emplace(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_length,
                         const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t, void* user_data)
    {
        const auto to_text = [](const std::uint8_t* bytes, std::size_t length) {
            return std::string_view(reinterpret_cast<const char*>(bytes),
                                    length);
        };
        get_channel(user_data).on_header(frame->hd.stream_id,
                                         to_text(name, name_length),
                                         to_text(value, value_length));
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream_id,
                       const std::uint8_t* data, std::size_t length,
                       void* user_data)
    {
        auto& channel = get_channel(user_data);
        const auto found = channel.streams_.find(stream_id);
        if (found == channel.streams_.end()) {
            return 0;
        }
        const std::string_view bytes(reinterpret_cast<const char*>(data),
                                     length);
        return channel.receive(found->second, bytes)
                   ? 0
                   : NGHTTP2_ERR_CALLBACK_FAILURE;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user_data)
    {
        const bool is_message_end =
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
            (frame->hd.type == NGHTTP2_DATA ||
             frame->hd.type == NGHTTP2_HEADERS);
        if (is_message_end) {
            get_channel(user_data).on_message_end(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream_id,
                        std::uint32_t error_code, void* user_data)
    {
        get_channel(user_data).on_stream_closed(stream_id,
                                                error_code == NGHTTP2_NO_ERROR);
        return 0;
    }

    static ssize_t read(nghttp2_session*, std::int32_t stream_id,
                        std::uint8_t* buffer, std::size_t length,
                        std::uint32_t* flags, nghttp2_data_source*,
                        void* user_data)
    {
        return get_channel(user_data).read_outgoing(stream_id, buffer, length,
                                                    flags);
    }
};

std::shared_ptr<http2_channel>
http2_channel::create_client(asio::ip::tcp::socket socket)
{
    return std::shared_ptr<http2_channel>(
        new http2_channel(std::move(socket), role::client, {}));
}

std::shared_ptr<http2_channel>
http2_channel::create_server(asio::ip::tcp::socket socket, server_events events)
{
    return std::shared_ptr<http2_channel>(
        new http2_channel(std::move(socket), role::server, std::move(events)));
}

http2_channel::http2_channel(asio::ip::tcp::socket socket, role side,
                             server_events events)
    : socket_(std::move(socket)), role_(side), server_events_(std::move(events))
{
    transport::limit_unacknowledged_time(socket_, unacknowledged_timeout);
    transport::probe_when_idle(socket_);
    create_session();
}

http2_channel::~http2_channel()
{
    nghttp2_session_del(session_);
}

void http2_channel::create_session()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        callbacks, http2_callbacks::on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(
        callbacks, http2_callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, http2_callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, http2_callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, http2_callbacks::on_close);
    if (role_ == role::client) {
        nghttp2_session_client_new(&session_, callbacks, this);
    } else {
        nghttp2_session_server_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                               max_concurrent_streams},
        nghttp2_settings_entry{
            NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
            static_cast<std::uint32_t>(flow_control_window_bytes)},
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          flow_control_window_bytes);
}

void http2_channel::start(std::function<void()> on_closed)
{
    auto self = shared_from_this();
    asio::dispatch(socket_.get_executor(),
                   [self, on_closed = std::move(on_closed)]() mutable {
                       self->on_closed_ = std::move(on_closed);
                       self->read_some();
                       self->flush();
                   });
}

void http2_channel::read_some()
{
    auto self = shared_from_this();
    socket_.async_read_some(
        asio::buffer(read_buffer_),
        [self](boost::system::error_code error, std::size_t length) {
            if (self->is_closed_) {
                return;
            }
            if (error) {
                self->close_now();
                return;
            }
            const auto consumed = nghttp2_session_mem_recv(
                self->session_, self->read_buffer_.data(), length);
            if (consumed < 0) {
                self->close_now();
                return;
            }
            self->flush();
            if (!self->is_closed_) {
                self->read_some();
            }
        });
}

void http2_channel::flush()
{
    if (is_writing_ || is_closed_) {
        return;
    }
    write_buffer_.clear();
    constexpr std::size_t max_write_bytes = 256 * 1024;
    while (write_buffer_.size() < max_write_bytes) {
        const std::uint8_t* data = nullptr;
        const auto length = nghttp2_session_mem_send(session_, &data);
        if (length < 0) {
            close_now();
            return;
        }
        if (length == 0) {
            break;
        }
        write_buffer_.append(reinterpret_cast<const char*>(data),
                             static_cast<std::size_t>(length));
    }
    const bool is_done = nghttp2_session_want_read(session_) == 0 &&
                         nghttp2_session_want_write(session_) == 0;
    if (write_buffer_.empty()) {
        if (is_done) {
            close_now();
        }
        return;
    }
    is_writing_ = true;
    auto self = shared_from_this();
    asio::async_write(socket_, asio::buffer(write_buffer_),
                      [self](boost::system::error_code error, std::size_t) {
                          self->is_writing_ = false;
                          if (error) {
                              self->close_now();
                              return;
                          }
                          self->flush();
                      });
}

void http2_channel::close_now()
{
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    auto streams = std::exchange(streams_, {});
    for (auto& [id, stream] : streams) {
        if (stream.events.on_close) {
            stream.events.on_close(false);
        }
    }
    if (on_closed_) {
        std::exchange(on_closed_, nullptr)();
    }
}

void http2_channel::call(call_path path, std::string body, reply_events events)
{
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self, path, body = std::move(body),
                                        events = std::move(events)]() mutable {
        if (self->is_closed_) {
            events.on_close(false);
            return;
        }
        const std::array headers{
            make_header(":method", "POST"),
            make_header(":scheme", "http"),
            make_header(":authority", "peer"),
            make_header(":path", to_path(path)),
        };
        nghttp2_data_provider provider{};
        provider.read_callback = http2_callbacks::read;
        const auto id =
            nghttp2_submit_request(self->session_, nullptr, headers.data(),
                                   headers.size(), &provider, nullptr);
        if (id < 0) {
            events.on_close(false);
            return;
        }
        auto& stream = self->streams_[id];
        stream.path = path;
        stream.events = std::move(events);
        stream.outgoing.push_back(std::move(body));
        stream.is_finished = true;
        self->flush();
    });
}

void http2_channel::reply(stream_id id, std::string message)
{
    assert(message.size() <= max_message_bytes);
    auto self = shared_from_this();
    asio::post(socket_.get_executor(),
               [self, id, message = std::move(message)] {
                   const auto found = self->streams_.find(id);
                   if (self->is_closed_ || found == self->streams_.end()) {
                       return;
                   }
                   found->second.outgoing.push_back(add_length_prefix(message));
                   if (std::exchange(found->second.is_deferred, false)) {
                       nghttp2_session_resume_data(self->session_, id);
                   }
                   self->flush();
               });
}

void http2_channel::finish(stream_id id)
{
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self, id] {
        const auto found = self->streams_.find(id);
        if (self->is_closed_ || found == self->streams_.end()) {
            return;
        }
        found->second.is_finished = true;
        if (std::exchange(found->second.is_deferred, false)) {
            nghttp2_session_resume_data(self->session_, id);
        }
        self->flush();
    });
}

void http2_channel::close()
{
    auto self = shared_from_this();
    asio::post(socket_.get_executor(), [self] {
        transport::close_and_discard(self->socket_);
        self->close_now();
    });
}

void http2_channel::on_header(stream_id id, std::string_view name,
                              std::string_view value)
{
    if (name != (role_ == role::server ? ":path" : ":status")) {
        return;
    }
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    if (role_ == role::server) {
        found->second.path = to_call_path(value);
        return;
    }
    found->second.is_accepted = value == accepted_status;
}

bool http2_channel::receive(stream_state& stream, std::string_view bytes)
{
    if (role_ == role::client && !stream.is_accepted) {
        return true;
    }
    buffered_bytes_ += bytes.size();
    stream.received.append(bytes);
    return stream.received.size() <= max_message_bytes + length_prefix_bytes &&
           buffered_bytes_ <= max_buffered_bytes && deliver_messages(stream);
}

bool http2_channel::deliver_messages(stream_state& stream)
{
    if (role_ == role::server) {
        return true;
    }
    std::size_t offset = 0;
    while (stream.received.size() - offset >= length_prefix_bytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, stream.received.data() + offset,
                    length_prefix_bytes);
        length = boost::endian::big_to_native(length);
        if (length > max_message_bytes) {
            return false;
        }
        if (stream.received.size() - offset - length_prefix_bytes < length) {
            break;
        }
        stream.events.on_message(
            std::string_view(stream.received)
                .substr(offset + length_prefix_bytes, length));
        offset += length_prefix_bytes + length;
    }
    stream.received.erase(0, offset);
    buffered_bytes_ -= offset;
    return true;
}

void http2_channel::on_message_end(stream_id id)
{
    const auto found = streams_.find(id);
    if (role_ == role::client || found == streams_.end()) {
        return;
    }
    const std::array headers{make_header(":status", accepted_status)};
    nghttp2_data_provider provider{};
    provider.read_callback = http2_callbacks::read;
    nghttp2_submit_response(session_, id, headers.data(), headers.size(),
                            &provider);
    auto body = std::exchange(found->second.received, {});
    buffered_bytes_ -= body.size();
    server_events_.on_call(id, found->second.path, std::move(body));
}

void http2_channel::on_stream_closed(stream_id id, bool is_clean)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    auto closed = std::move(found->second);
    buffered_bytes_ -= closed.received.size();
    streams_.erase(found);
    const bool is_cut_off = !closed.received.empty();
    if (closed.events.on_close) {
        closed.events.on_close(is_clean && closed.is_accepted && !is_cut_off);
    }
}

std::ptrdiff_t http2_channel::read_outgoing(stream_id id, std::uint8_t* buffer,
                                            std::size_t length,
                                            std::uint32_t* flags)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    auto& stream = found->second;
    std::size_t written = 0;
    while (written < length && !stream.outgoing.empty()) {
        const auto& front = stream.outgoing.front();
        const auto chunk_bytes =
            std::min(length - written, front.size() - stream.outgoing_offset);
        std::memcpy(buffer + written, front.data() + stream.outgoing_offset,
                    chunk_bytes);
        written += chunk_bytes;
        stream.outgoing_offset += chunk_bytes;
        if (stream.outgoing_offset == front.size()) {
            stream.outgoing.pop_front();
            stream.outgoing_offset = 0;
        }
    }
    if (stream.outgoing.empty() && stream.is_finished) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (written == 0) {
        stream.is_deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<std::ptrdiff_t>(written);
}

} // namespace tamarackhoist::peers
