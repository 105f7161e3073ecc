#include <rapidcheck.h>
#include <string>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <tamarackhoist/peers/store_update_codec.hpp>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;

namespace
{

void relay_request_round_trips()
{
    peers::relay_request request;
    request.sender = 7;
    request.call = 8;
    request.request_id = "id";
    request.head = "GET / HTTP/1.1\r\n";
    request.body = std::string("\0\xff", 2);
    request.priority = 1;
    request.remaining = 250ms;
    request.targets = {{0, "u"}, {7, "v"}};
    request.top_records = 20;
    request.gather = 12ms;
    const auto decoded =
        peers::decode_relay_request(peers::encode_relay_request(request));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->sender, 7U);
    cr_assert_eq(decoded->call, 8U);
    cr_assert_eq(decoded->request_id, request.request_id);
    cr_assert_eq(decoded->head, request.head);
    cr_assert_eq(decoded->body, request.body);
    cr_assert_eq(decoded->priority, 1U);
    cr_assert(decoded->remaining == 250ms);
    cr_assert(decoded->targets == request.targets);
    cr_assert_eq(decoded->top_records, 20U);
    cr_assert(decoded->gather == 12ms);
}

void relay_reply_and_cancel_round_trip()
{
    peers::relay_reply reply;
    reply.parts = {{3, policy::attempt_result::answered, "digest", 5ms},
                   {4, policy::attempt_result::broken, {}, 6ms},
                   {5,
                    policy::attempt_result::not_executed,
                    {},
                    7ms,
                    policy::upstream_hold{77, true, 1500ms}}};
    reply.records = std::string(32, '\xfe');
    reply.sent_after = 7ms;
    const auto decoded =
        peers::decode_relay_reply(peers::encode_relay_reply(reply));
    cr_assert(decoded.has_value());
    cr_assert(decoded->parts == reply.parts);
    cr_assert_eq(decoded->records, reply.records);
    cr_assert(decoded->sent_after == 7ms);
    const auto cancel =
        peers::decode_relay_cancel(peers::encode_relay_cancel({1, 2, {3, 4}}));
    cr_assert(cancel.has_value());
    cr_assert_eq(cancel->shards.size(), 2U);
}

void store_update_round_trips()
{
    peers::store_update update;
    update.sender = "n";
    update.after_revision = 4;
    update.position = {1, 9};
    update.age = 1s;
    update.grace = 2s;
    update.items = {{"k", std::string("\0v", 2), {1, 8}, false},
                    {"gone", {}, {1, 9}, true}};
    const auto decoded =
        peers::decode_store_update(peers::encode_store_update(update));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->sender, "n");
    cr_assert_eq(decoded->after_revision, 4U);
    cr_assert(decoded->position == update.position);
    cr_assert(decoded->age == 1s);
    cr_assert(decoded->grace == 2s);
    cr_assert(decoded->items == update.items);
}

/// Guards against revisions of two eras that are compared by a peer.
void a_store_update_carries_its_era()
{
    peers::store_update update;
    update.sender = "n";
    update.after_revision = 4;
    update.items = {{"k", "v", {7, 8}, false}};
    update.held_back = {{"old", "v", {6, 90}, false}};
    update.withdrawn = {{"u", 5, true}, {"w", 6, false}};
    for (const std::uint64_t era : {0U, 7U}) {
        update.position = {era, 9};
        update.items.front().position = {era, 8};
        const auto decoded =
            peers::decode_store_update(peers::encode_store_update(update));
        cr_assert(decoded.has_value());
        cr_assert(decoded->position == update.position);
        cr_assert(decoded->items == update.items);
        cr_assert(decoded->held_back == update.held_back);
        cr_assert(decoded->withdrawn == update.withdrawn);
    }
}

/// Nodes of a build that knows no eras reject a message with one, as they would
/// take its revisions for old ones. They read the messages of the first era.
void only_updates_of_a_restored_store_have_a_new_version()
{
    const auto version = [](std::uint64_t era) {
        peers::store_update update;
        update.position = {era, 9};
        const auto message = peers::encode_store_update(update);
        // The version is the first member: a key byte and the number.
        return message.at(1);
    };
    cr_assert_eq(version(1), 1);
    cr_assert_eq(version(2), 2);
}

void malformed_messages_do_not_crash_decoders()
{
    const bool holds = rc::check([](const std::string& bytes) {
        static_cast<void>(peers::decode_relay_request(bytes));
        static_cast<void>(peers::decode_relay_reply(bytes));
        static_cast<void>(peers::decode_relay_cancel(bytes));
        static_cast<void>(peers::decode_store_update(bytes));
    });
    cr_assert(holds);
    cr_assert(!peers::decode_relay_request("").has_value(),
              "a message without a protocol version must be rejected");
    cr_assert(!peers::decode_store_update("").has_value());
}

} // namespace

Test(forward_codec, relay_request)
{
    relay_request_round_trips();
}
Test(forward_codec, relay_reply)
{
    relay_reply_and_cancel_round_trip();
}
Test(forward_codec, store_update)
{
    store_update_round_trips();
}
Test(forward_codec, store_update_era)
{
    a_store_update_carries_its_era();
}
Test(forward_codec, store_update_version)
{
    only_updates_of_a_restored_store_have_a_new_version();
}
Test(forward_codec, malformed_input)
{
    malformed_messages_do_not_crash_decoders();
}
