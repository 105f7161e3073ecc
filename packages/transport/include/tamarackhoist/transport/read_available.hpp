#ifndef TAMARACKHOIST_TRANSPORT_READ_AVAILABLE_HPP
#define TAMARACKHOIST_TRANSPORT_READ_AVAILABLE_HPP

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

namespace tamarackhoist::transport
{

/// Maximum number of bytes that one `read_available` call delivers.
inline constexpr std::size_t max_read_bytes = 16 * 1024;

/// Waits until the non-blocking `socket` is readable, then calls
/// `handle(error, bytes)` once. The bytes are valid only during that call: all
/// connections of a thread share one buffer, so that idle connections need
/// none. `handle` must keep the socket alive. At most `max_bytes` are read,
/// which must not be zero.
template <typename Handler>
void read_available(boost::asio::ip::tcp::socket& socket, Handler handle,
                    std::size_t max_bytes = max_read_bytes)
{
    using boost::asio::ip::tcp;
    // Asio may fill a buffer long before it runs the handler of an asynchronous
    // read, which would let other connections overwrite a shared buffer. The
    // socket is therefore read in the handler of the wait.
    socket.async_wait(
        tcp::socket::wait_read,
        [&socket, handle = std::move(handle),
         max_bytes](boost::system::error_code error) mutable {
            static thread_local std::array<char, max_read_bytes> buffer;
            std::size_t size = 0;
            if (!error) {
                size = socket.read_some(boost::asio::buffer(buffer, max_bytes),
                                        error);
            }
            if (error == boost::asio::error::would_block) {
                read_available(socket, std::move(handle), max_bytes);
                return;
            }
            handle(error, std::string_view(buffer.data(), size));
        });
}

} // namespace tamarackhoist::transport

#endif
