#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <tamarackhoist/peers/peer_link.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using peers::call_end;

namespace
{

/// More than the peer's receive buffer holds, so that the rest is held up on
/// the way as by a partition.
constexpr std::size_t call_bytes = 60'000;
constexpr int receive_buffer_bytes = 4096;

/// A link to a peer that accepts the connection and reads only when told to.
class link_fixture
{
public:
    link_fixture() : acceptor_(context_), peer_(context_)
    {
        acceptor_.open(tcp::v4());
        acceptor_.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        acceptor_.async_accept(peer_, [](boost::system::error_code) {});
        link = peers::peer_link::create(
            context_.get_executor(),
            {"127.0.0.1", acceptor_.local_endpoint().port()});
        link->call(
            peers::call_path::relay, std::string(call_bytes, 'x'),
            [](std::string_view) {}, [this](call_end ended) { end = ended; });
        process_events(200ms);
    }

    void process_events(std::chrono::milliseconds time)
    {
        context_.restart();
        context_.run_for(time);
    }

    /// Reads what arrives until the connection ends and returns its size.
    std::size_t read_all(boost::system::error_code& error)
    {
        std::string buffer(call_bytes, '\0');
        std::size_t size = 0;
        while (!error) {
            size += peer_.read_some(asio::buffer(buffer), error);
        }
        return size;
    }

private:
    asio::io_context context_;
    tcp::acceptor acceptor_;
    tcp::socket peer_;

public:
    std::shared_ptr<peers::peer_link> link;
    std::optional<call_end> end;
};

/// A link is closed because its peer was declared dead, in a partition. When
/// the partition heals, the calls that it held up must not be executed: their
/// callers have long been answered.
void calls_held_up_when_a_link_closes_are_never_delivered()
{
    link_fixture fixture;
    fixture.link->close();
    fixture.process_events(100ms);
    cr_assert(fixture.end == call_end::interrupted);
    boost::system::error_code error;
    cr_assert(fixture.read_all(error) < call_bytes);
    cr_assert(error == asio::error::connection_reset, "%s",
              error.message().c_str());
}

/// The peer has not been declared dead, or not yet.
void calls_held_up_for_seconds_are_never_delivered()
{
    link_fixture fixture;
    for (int step = 0; step < 60 && !fixture.end; ++step) {
        fixture.process_events(100ms);
    }
    cr_assert(fixture.end == call_end::interrupted);
    boost::system::error_code error;
    cr_assert(fixture.read_all(error) < call_bytes);
}

} // namespace

Test(peer_link, closed)
{
    calls_held_up_when_a_link_closes_are_never_delivered();
}
Test(peer_link, held_up)
{
    calls_held_up_for_seconds_are_never_delivered();
}
