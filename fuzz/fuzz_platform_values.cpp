// Passes arbitrary bytes to the decoders of the platform's responses and values
// and to the parser of log lines.

#include <cstdint>
#include <string>
#include <string_view>
#include <tamarackhoist/adapter/configuration_codec.hpp>
#include <tamarackhoist/adapter/store_codec.hpp>
#include <tamarackhoist/operators/log_entry.hpp>

namespace
{

/// Decodes the items of a batch, as a node does that follows the store.
void decode_items(const tamarackhoist::runtime::result<
                  tamarackhoist::platform::news_batch, std::string>& batch)
{
    if (!batch) {
        return;
    }
    for (const auto& item : batch.value().items) {
        (void)tamarackhoist::adapter::decode_item(item);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    using namespace tamarackhoist;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    decode_items(adapter::decode_list(text));
    decode_items(adapter::decode_changes(text));
    (void)adapter::decode_configuration(text);
    const std::string value(text);
    (void)adapter::decode_item({"servers/u", value, {1, 1}, false});
    (void)adapter::decode_item({"op/config", value, {1, 1}, false});
    (void)operators::log_entry::parse(text);
    return 0;
}
