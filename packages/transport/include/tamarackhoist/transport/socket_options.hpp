#ifndef TAMARACKHOIST_TRANSPORT_SOCKET_OPTIONS_HPP
#define TAMARACKHOIST_TRANSPORT_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

/// Options of TCP sockets that Asio has no type for, and groups of options that
/// belong together. Failures are ignored: the connection works without them.
namespace tamarackhoist::transport
{

/// Lets TCP close the connection once sent data stays unacknowledged for
/// `timeout`. What was held up until then is never delivered.
void limit_unacknowledged_time(boost::asio::ip::tcp::socket& socket,
                               std::chrono::milliseconds timeout);

/// Sends probes on an idle connection, so that a peer that has disappeared is
/// noticed after some 15 seconds also by a side that only receives.
void probe_when_idle(boost::asio::ip::tcp::socket& socket);

/// Closes the connection without delivering what it still holds up.
void close_and_discard(boost::asio::ip::tcp::socket& socket);

} // namespace tamarackhoist::transport

#endif
