#ifndef TAMARACKHOIST_PEERS_SCRIPTED_PEER_HPP
#define TAMARACKHOIST_PEERS_SCRIPTED_PEER_HPP

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <nghttp2/nghttp2.h>
#include <string>

namespace tamarackhoist::peers
{

/// An HTTP/2 server that answers each call with a status and bytes from the
/// test, which need not be valid messages.
class scripted_peer
{
public:
    struct reply {
        std::string status;
        std::string bytes;
    };

    scripted_peer(boost::asio::ip::tcp::socket socket, reply answer)
        : socket_(std::move(socket)), answer_(std::move(answer))
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                             on_frame);
        nghttp2_session_server_new(&session_, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
        read();
    }

    ~scripted_peer() { nghttp2_session_del(session_); }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

private:
    static int on_frame(nghttp2_session* session, const nghttp2_frame* frame,
                        void* user_data)
    {
        if (frame->hd.type != NGHTTP2_DATA ||
            (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
            return 0;
        }
        auto& peer = *static_cast<scripted_peer*>(user_data);
        std::string name = ":status";
        auto& value = peer.answer_.status;
        const std::array headers{
            nghttp2_nv{reinterpret_cast<std::uint8_t*>(name.data()),
                       reinterpret_cast<std::uint8_t*>(value.data()),
                       name.size(), value.size(), NGHTTP2_NV_FLAG_NONE}};
        nghttp2_data_provider provider{};
        provider.read_callback = read_answer;
        return nghttp2_submit_response(session, frame->hd.stream_id,
                                       headers.data(), headers.size(),
                                       &provider);
    }

    static ssize_t read_answer(nghttp2_session*, std::int32_t,
                               std::uint8_t* buffer, std::size_t,
                               std::uint32_t* flags, nghttp2_data_source*,
                               void* user_data)
    {
        const auto& bytes =
            static_cast<scripted_peer*>(user_data)->answer_.bytes;
        std::memcpy(buffer, bytes.data(), bytes.size());
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(bytes.size());
    }

    void read()
    {
        socket_.async_read_some(
            boost::asio::buffer(received_),
            [this](boost::system::error_code error, std::size_t size) {
                if (error || nghttp2_session_mem_recv(
                                 session_, received_.data(), size) < 0) {
                    return;
                }
                write();
                read();
            });
    }

    void write()
    {
        const std::uint8_t* data = nullptr;
        while (true) {
            const auto size = nghttp2_session_mem_send(session_, &data);
            if (size <= 0) {
                return;
            }
            boost::system::error_code ignored;
            boost::asio::write(
                socket_,
                boost::asio::buffer(data, static_cast<std::size_t>(size)),
                ignored);
        }
    }

    boost::asio::ip::tcp::socket socket_;
    reply answer_;
    nghttp2_session* session_ = nullptr;
    std::array<std::uint8_t, 16 * 1024> received_{};
};

} // namespace tamarackhoist::peers

#endif
