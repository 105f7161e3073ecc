#ifndef TAMARACKHOIST_CALLERS_FORWARD_SERVER_HPP
#define TAMARACKHOIST_CALLERS_FORWARD_SERVER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <tamarackhoist/callers/forward_exchange.hpp>
#include <tamarackhoist/policy/connection_limiter.hpp>
#include <tamarackhoist/policy/routing_table.hpp>
#include <tamarackhoist/runtime/clock.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/transport/endpoint.hpp>
#include <unordered_map>

namespace tamarackhoist::callers
{

class caller_connection;

/// HTTP/1.1 server for requests that are forwarded unchanged. Requests on one
/// connection are answered in order. All calls and handlers run on the
/// thread of the `io_context`.
class forward_server : public std::enable_shared_from_this<forward_server>
{
public:
    using handler = std::function<void(std::shared_ptr<forward_exchange>)>;
    /// Returns the current limits; called before each request is read.
    using limits_source = std::function<policy::request_limits()>;

    struct options {
        transport::endpoint listen_endpoint;
        /// What all callers together may take of this node.
        policy::connection_limiter::limits limits = {
            .max_connections = 2048,
            .max_request_bytes = 32 * 1024 * 1024,
            .max_answer_bytes = 32 * 1024 * 1024};
        /// Makes the answer to a request that is refused for want of room.
        std::function<forward_answer()> make_refusal = [] {
            return forward_answer{
                503, "Service Unavailable", {{"Retry-After", "1"}}, {}, true};
        };
    };

    /// Creates a server that listens on `options::listen_endpoint`. An error
    /// text names the endpoint. `handle` is called for each complete request.
    [[nodiscard]] static runtime::result<std::shared_ptr<forward_server>,
                                         std::string>
    create(boost::asio::io_context& context, runtime::clock clock,
           options options, limits_source limits, handler handle);

    /// Starts to accept connections.
    void start();

    /// From now on, closes each connection after its next answer.
    void start_draining() { is_draining_ = true; }

    /// Stops accepting connections and closes those without a request.
    void close_idle();

    [[nodiscard]] bool is_draining() const { return is_draining_; }
    [[nodiscard]] std::size_t requests_in_flight() const { return in_flight_; }
    [[nodiscard]] std::size_t connection_count() const
    {
        return connections_.size();
    }
    /// Memory that requests and answers hold beyond what each connection may.
    [[nodiscard]] std::size_t counted_bytes() const
    {
        return limiter_.counted_bytes();
    }
    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

private:
    friend class caller_connection;

    forward_server(boost::asio::io_context& context, runtime::clock clock,
                   options options, limits_source limits, handler handle,
                   boost::asio::ip::tcp::acceptor acceptor);

    void accept();
    void serve(boost::asio::ip::tcp::socket socket);
    /// Closes connections until there is room for another. Returns whether
    /// there is.
    bool make_room_for_connection();
    /// Gives up requests and answers until the others are within their limits
    /// or in service.
    void make_room_for_bytes();

    boost::asio::io_context& context_;
    const runtime::clock clock_;
    const options options_;
    const limits_source limits_;
    const handler handle_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_retry_timer_;
    policy::connection_limiter limiter_;
    std::unordered_map<policy::connection_limiter::connection_id,
                       std::shared_ptr<caller_connection>>
        connections_;
    std::size_t in_flight_ = 0;
    bool is_draining_ = false;
};

} // namespace tamarackhoist::callers

#endif
