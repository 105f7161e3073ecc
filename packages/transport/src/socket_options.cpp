#include <tamarackhoist/transport/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackhoist::transport
{

using boost::asio::ip::tcp;

namespace
{

constexpr int idle_time_s = 9;
constexpr int probe_interval_s = 2;
constexpr int max_lost_probes = 3;

void set_tcp_option(tcp::socket& socket, int option, int value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                 sizeof(value));
}

} // namespace

void limit_unacknowledged_time(tcp::socket& socket,
                               std::chrono::milliseconds timeout)
{
    set_tcp_option(socket, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

void probe_when_idle(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, idle_time_s);
    set_tcp_option(socket, TCP_KEEPINTVL, probe_interval_s);
    set_tcp_option(socket, TCP_KEEPCNT, max_lost_probes);
}

void close_and_discard(tcp::socket& socket)
{
    boost::system::error_code ignored;
    // Without this option, TCP goes on sending after the close.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace tamarackhoist::transport
