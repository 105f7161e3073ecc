#ifndef TAMARACKHOIST_UPSTREAMS_SCRIPTED_UPSTREAM_HPP
#define TAMARACKHOIST_UPSTREAMS_SCRIPTED_UPSTREAM_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <tamarackhoist/transport/endpoint.hpp>

namespace tamarackhoist::upstreams
{

/// An upstream on a loopback port that answers each request with bytes from a
/// script, which need not be valid HTTP. Runs on the test's `io_context`.
class scripted_upstream
{
public:
    struct reply {
        std::string bytes;
        /// Closes the connection after `bytes` are written.
        bool closes_connection = false;
        /// Written after `bytes` again and again until the client closes the
        /// connection; nothing if empty.
        std::string repeated_bytes = {};
    };
    /// Returns the reply to the request with this header. `number` counts the
    /// requests from 0.
    using script = std::function<reply(const std::string& header, int number)>;

    scripted_upstream(boost::asio::io_context& context, script answer)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          answer_(std::move(answer))
    {
        accept();
    }

    [[nodiscard]] transport::endpoint listen_endpoint() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int connections() const { return connections_; }
    /// Replies with `reply::repeated_bytes` whose connection the client closed.
    [[nodiscard]] int closed_endless_replies() const
    {
        return closed_endless_replies_;
    }
    /// Bytes of `reply::repeated_bytes` that have been written.
    [[nodiscard]] std::size_t repeated_byte_count() const
    {
        return repeated_byte_count_;
    }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string received;
        std::string outgoing;
        std::string repeated;
    };

    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error,
                                      boost::asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            ++connections_;
            read(std::make_shared<connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<connection>& client)
    {
        boost::asio::async_read_until(
            client->socket, boost::asio::dynamic_buffer(client->received),
            "\r\n\r\n",
            [this, client](boost::system::error_code error, std::size_t size) {
                if (error) {
                    return;
                }
                const auto header = client->received.substr(0, size);
                client->received.erase(0, size);
                const auto reply = answer_(header, requests_++);
                client->outgoing = reply.bytes;
                client->repeated = reply.repeated_bytes;
                boost::asio::async_write(
                    client->socket, boost::asio::buffer(client->outgoing),
                    [this, client, closes_connection = reply.closes_connection](
                        boost::system::error_code write_error, std::size_t) {
                        if (write_error || closes_connection) {
                            client->socket.close();
                            return;
                        }
                        if (!client->repeated.empty()) {
                            write_repeatedly(client);
                            return;
                        }
                        read(client);
                    });
            });
    }

    void write_repeatedly(const std::shared_ptr<connection>& client)
    {
        boost::asio::async_write(
            client->socket, boost::asio::buffer(client->repeated),
            [this, client](boost::system::error_code error, std::size_t size) {
                if (error) {
                    client->socket.close();
                    ++closed_endless_replies_;
                    return;
                }
                repeated_byte_count_ += size;
                write_repeatedly(client);
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    const script answer_;
    int requests_ = 0;
    int connections_ = 0;
    int closed_endless_replies_ = 0;
    std::size_t repeated_byte_count_ = 0;
};

/// Returns a valid response that carries this request ID.
[[nodiscard]] inline std::string make_reply(const std::string& id,
                                            const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Returns the request ID from a request's header.
[[nodiscard]] inline std::string parse_request_id(const std::string& header)
{
    const auto begin = header.find("X-Id: ") + 6;
    return header.substr(begin, header.find('\r', begin) - begin);
}

} // namespace tamarackhoist::upstreams

#endif
