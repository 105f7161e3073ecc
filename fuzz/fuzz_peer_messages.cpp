// Passes arbitrary bytes to every decoder of messages between nodes.

#include <cstdint>
#include <string_view>
#include <tamarackhoist/peers/gossip_message.hpp>
#include <tamarackhoist/peers/peer_codec.hpp>
#include <tamarackhoist/peers/relay_codec.hpp>
#include <tamarackhoist/peers/store_update_codec.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace tamarackhoist::peers;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    (void)decode_gossip(bytes);
    (void)decode_members(bytes);
    (void)decode_sub_requests(bytes, {});
    (void)decode_sub_reply(bytes);
    (void)decode_cancel(bytes);
    (void)decode_order(bytes);
    (void)decode_outcome(bytes);
    (void)decode_document_request(bytes);
    (void)decode_sections(bytes);
    (void)decode_relay_request(bytes);
    (void)decode_relay_reply(bytes);
    (void)decode_relay_cancel(bytes);
    (void)decode_store_update(bytes);
    return 0;
}
