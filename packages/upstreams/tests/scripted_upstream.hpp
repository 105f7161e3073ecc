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

/// An upstream on a loopback port that answers each request with the bytes
/// that a script gives, well-formed or not. Runs on the test's `io_context`.
class scripted_upstream
{
public:
    struct reply {
        std::string bytes;
        bool closes = false;
    };
    /// Gets the header of a request, and its number from 0.
    using script = std::function<reply(const std::string& head, int number)>;

    scripted_upstream(boost::asio::io_context& context, script answer)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          answer_(std::move(answer))
    {
        accept();
    }

    [[nodiscard]] transport::endpoint where() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int connections() const { return connections_; }

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        boost::asio::ip::tcp::socket socket;
        std::string received;
        std::string sending;
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

    void read(const std::shared_ptr<connection>& from)
    {
        boost::asio::async_read_until(
            from->socket, boost::asio::dynamic_buffer(from->received),
            "\r\n\r\n",
            [this, from](boost::system::error_code error, std::size_t size) {
                if (error) {
                    return;
                }
                const auto head = from->received.substr(0, size);
                from->received.erase(0, size);
                const auto reply = answer_(head, requests_++);
                from->sending = reply.bytes;
                boost::asio::async_write(
                    from->socket, boost::asio::buffer(from->sending),
                    [this, from, closes = reply.closes](
                        boost::system::error_code write_error, std::size_t) {
                        if (write_error || closes) {
                            from->socket.close();
                            return;
                        }
                        read(from);
                    });
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    const script answer_;
    int requests_ = 0;
    int connections_ = 0;
};

/// Returns a well-formed answer to the request with this identity.
[[nodiscard]] inline std::string make_reply(const std::string& id,
                                            const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Returns the identity that a request's header carries.
[[nodiscard]] inline std::string id_of(const std::string& head)
{
    const auto at = head.find("X-Id: ") + 6;
    return head.substr(at, head.find('\r', at) - at);
}

} // namespace tamarackhoist::upstreams

#endif
