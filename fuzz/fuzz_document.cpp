// Applies arbitrary text to a document and then half of that text as the next
// revision. Merges the resulting records into an empty document, as another
// node would.

#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <tamarackhoist/document/document_state.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    tamarackhoist::document::document_state state;
    (void)state.apply("document", text, 1);
    (void)state.apply("document", text.substr(0, size / 2), 2);
    tamarackhoist::document::document_state copy;
    (void)copy.merge(state.records());
    return 0;
}
