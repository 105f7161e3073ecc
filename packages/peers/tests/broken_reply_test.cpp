#include "scripted_peer.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <tamarackhoist/peers/http2_channel.hpp>
#include <vector>

#include <criterion/criterion.h>

/// Peers whose replies are not those of a node.

using namespace tamarackhoist;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using peers::http2_channel;
using peers::scripted_peer;

namespace
{

/// A whole message: its length, then its bytes.
const std::string message("\0\0\0\4text", 8);

/// What a call got from a peer.
struct call_outcome {
    std::vector<std::string> messages;
    std::optional<bool> is_clean;
};

/// Makes a call to a peer and waits until it ends, for 5 seconds at most.
call_outcome call_peer(scripted_peer::reply reply)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket client(asio::make_strand(context));
    client.connect(acceptor.local_endpoint());
    scripted_peer peer(acceptor.accept(), std::move(reply));
    const auto channel = http2_channel::create_client(std::move(client));
    channel->start([] {});
    call_outcome outcome;
    channel->call(peers::call_path::relay, "request",
                  {[&](std::string_view received) {
                       outcome.messages.emplace_back(received);
                   },
                   [&](bool is_clean) {
                       outcome.is_clean = is_clean;
                   }});
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!outcome.is_clean && std::chrono::steady_clock::now() < end) {
        context.run_one_for(10ms);
    }
    channel->close();
    context.run_for(10ms);
    return outcome;
}

void a_reply_is_received()
{
    const auto outcome = call_peer({"200", message + message});
    cr_assert(outcome.messages == (std::vector<std::string>{"text", "text"}));
    cr_assert(outcome.is_clean == true);
}

void replies_with_another_status_are_rejected()
{
    for (const std::string status :
         {"000", "099", "100", "101", "204", "404", "500", "600", "20", ""}) {
        const auto outcome = call_peer({status, message});
        cr_expect(outcome.messages.empty(), "%s", status.c_str());
        cr_expect(outcome.is_clean == false, "%s", status.c_str());
    }
}

void a_reply_that_is_cut_off_does_not_end_cleanly()
{
    for (std::size_t size = 1; size < message.size(); ++size) {
        const auto outcome =
            call_peer({"200", message + message.substr(0, size)});
        cr_expect(outcome.messages == std::vector<std::string>{"text"});
        cr_expect(outcome.is_clean == false, "%zu", size);
    }
}

} // namespace

Test(broken_reply, none)
{
    a_reply_is_received();
}
Test(broken_reply, status)
{
    replies_with_another_status_are_rejected();
}
Test(broken_reply, cut_off)
{
    a_reply_that_is_cut_off_does_not_end_cleanly();
}
