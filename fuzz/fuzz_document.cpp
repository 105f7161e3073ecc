// Applies arbitrary text as a document, twice, and checks that the records
// that come out are taken over whole by another node.

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
