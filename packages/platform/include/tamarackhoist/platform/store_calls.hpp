#ifndef TAMARACKHOIST_PLATFORM_STORE_CALLS_HPP
#define TAMARACKHOIST_PLATFORM_STORE_CALLS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tamarackhoist/policy/store_item.hpp>
#include <tamarackhoist/runtime/result.hpp>
#include <tamarackhoist/runtime/time.hpp>
#include <vector>

namespace tamarackhoist::platform
{

/// Items of one response of the store.
struct news_batch {
    /// Their positions have no era yet: the response states it once.
    std::vector<policy::store_item> items;
    /// Revision of the store up to which the response is complete.
    std::uint64_t store_revision = 0;
    /// Key after which the next page begins; empty on the last page.
    std::optional<std::string> next_page;
};

/// Why a call to the store failed.
enum class store_error {
    /// No response, or one that cannot be decoded.
    unavailable,
    /// The store rejected the call.
    refused,
    /// The store no longer keeps the changes since the requested revision, so
    /// all items have to be listed again.
    history_lost,
    /// The response is longer than this node reads.
    answer_too_large,
    /// The response is of an era that has ended.
    outdated
};

/// Returns the text that logs show for `error`.
[[nodiscard]] const char* to_string(store_error error);

using news_result = runtime::result<news_batch, store_error>;

/// What a response of the store states of its era.
struct stated_era {
    /// Empty if there is no response, or if it states no readable era.
    std::optional<std::uint64_t> number;
    /// Whether the response states an era that is not a number.
    bool is_malformed = false;
};

/// The end of one call to the store.
struct store_response {
    // Not explicit: most calls end without anything to say of the era.
    store_response(news_batch batch, stated_era era = {})
        : result(std::move(batch)), era(era)
    {
    }
    store_response(store_error error, stated_era era = {})
        : result(error), era(era)
    {
    }

    news_result result;
    stated_era era;
};

/// Client functions of the store. Each calls its handler once, within a bounded
/// time. A new call replaces a pending one, whose handler then reports that the
/// store is unavailable.
struct store_calls {
    using handler = std::function<void(store_response)>;
    /// Reads the page of items after the key `after`; empty for the first page.
    std::function<void(const std::optional<std::string>& after, handler)> list;
    /// Long-polls for changes after the revision `after`. The store responds
    /// without items when there are none within `timeout`.
    std::function<void(std::uint64_t after, runtime::duration timeout, handler)>
        watch;
};

} // namespace tamarackhoist::platform

#endif
