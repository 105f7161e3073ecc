#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <tamarackhoist/peers/http2_channel.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using peers::http2_channel;

namespace
{

/// A server channel and the socket of its client.
class channel_fixture
{
public:
    channel_fixture() : client(context)
    {
        asio::ip::tcp::acceptor acceptor(
            context, {asio::ip::make_address("127.0.0.1"), 0});
        client.connect(acceptor.local_endpoint());
        server_ = http2_channel::create_server(
            acceptor.accept(),
            {[this](http2_channel::stream_id stream, peers::call_path,
                    const std::string& body) {
                received_bytes += body.size();
                server_->finish(stream);
            }});
        server_->start([this] { is_closed = true; });
    }

    /// Makes `count` calls with bodies of `bytes` at the same time and waits
    /// until all have ended, for 10 seconds at most.
    void call(int count, std::size_t bytes)
    {
        auto channel = http2_channel::create_client(std::move(client));
        channel->start([] {});
        int ended = 0;
        for (int number = 0; number < count; ++number) {
            channel->call(peers::call_path::relay, std::string(bytes, 'x'),
                          {[](std::string_view) {},
                           [&](bool is_clean) {
                               ++ended;
                               clean_calls += is_clean ? 1 : 0;
                           }});
        }
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (ended < count && std::chrono::steady_clock::now() < end) {
            context.run_one_for(10ms);
        }
    }

    asio::io_context context;
    asio::ip::tcp::socket client;
    std::size_t received_bytes = 0;
    int clean_calls = 0;
    bool is_closed = false;

private:
    std::shared_ptr<http2_channel> server_;
};

void ordinary_calls_are_received()
{
    constexpr std::size_t bytes = 100'000;
    channel_fixture fixture;
    fixture.call(20, bytes);
    cr_assert_eq(fixture.clean_calls, 20);
    cr_assert_eq(fixture.received_bytes, 20 * bytes);
}

/// Many large messages at once would fill the memory of the receiver.
void messages_beyond_the_buffer_limit_close_the_connection()
{
    channel_fixture fixture;
    fixture.call(16, http2_channel::max_message_bytes);
    cr_assert(fixture.is_closed);
    cr_assert_lt(fixture.clean_calls, 16);
}

/// A message without end.
void a_message_beyond_its_limit_closes_the_connection()
{
    channel_fixture fixture;
    fixture.call(1, 2 * http2_channel::max_message_bytes);
    cr_assert(fixture.is_closed);
    cr_assert_eq(fixture.clean_calls, 0);
    cr_assert_eq(fixture.received_bytes, 0U);
}

void bytes_that_are_not_http2_close_the_connection()
{
    channel_fixture fixture;
    boost::system::error_code ignored;
    asio::write(fixture.client,
                asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")), ignored);
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!fixture.is_closed && std::chrono::steady_clock::now() < end) {
        fixture.context.run_one_for(10ms);
    }
    cr_assert(fixture.is_closed);
}

} // namespace

Test(http2_channel, ordinary)
{
    ordinary_calls_are_received();
}
Test(http2_channel, buffer_limit)
{
    messages_beyond_the_buffer_limit_close_the_connection();
}
Test(http2_channel, message_limit)
{
    a_message_beyond_its_limit_closes_the_connection();
}
Test(http2_channel, not_http2)
{
    bytes_that_are_not_http2_close_the_connection();
}
