#ifndef TAMARACKHOIST_NODE_TESTS_MODEL_STORE_HPP
#define TAMARACKHOIST_NODE_TESTS_MODEL_STORE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tamarackhoist/platform/store_calls.hpp>
#include <tamarackhoist/policy/registered_upstream.hpp>
#include <tamarackhoist/policy/store_item.hpp>
#include <utility>
#include <vector>

namespace tamarackhoist::node
{

inline constexpr const char* configuration_key = "configuration";
inline constexpr const char* upstream_key_prefix = "upstreams/";

/// What an upstream wants the store to say of it.
struct upstream_intent {
    std::uint64_t started_at = 0;
    bool is_draining = false;

    bool operator==(const upstream_intent&) const = default;
};

/// Writes a registration as the value of an item. `write` identifies the write,
/// so that one that is repeated differs from the one in a copy.
inline std::string encode_registration(const upstream_intent& upstream,
                                       std::uint64_t write)
{
    return std::to_string(upstream.started_at) + " " +
           (upstream.is_draining ? "1" : "0") + " " + std::to_string(write);
}

/// Reads a registration. Its `slots` are the number of the write.
inline policy::registered_upstream
decode_registration(const policy::store_item& item)
{
    policy::registered_upstream entry;
    entry.id = item.key.substr(std::string(upstream_key_prefix).size());
    entry.service = "service";
    entry.address = "127.0.0.1";
    entry.port = 80;
    entry.position = item.position;
    std::size_t end = 0;
    entry.started_at = std::stoull(item.value, &end);
    entry.is_draining = item.value[end + 1] == '1';
    entry.slots =
        static_cast<std::uint32_t>(std::stoul(item.value.substr(end + 3)));
    return entry;
}

/// The store in memory, with the operator and the upstreams that write to it.
class model_store
{
public:
    static constexpr std::size_t page_size = 2;

    model_store()
    {
        publish_version();
        for (const auto* id : {"a", "b", "c", "d"}) {
            register_upstream(id, {++clock_, false});
        }
    }

    [[nodiscard]] std::uint64_t era() const { return era_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::map<std::string, policy::store_item>& items() const
    {
        return state_.items;
    }
    [[nodiscard]] bool has_dropped_history() const
    {
        return has_dropped_history_;
    }

    /// The operator publishes the next version of the configuration.
    void publish_version()
    {
        write(configuration_key, std::to_string(++version_));
    }

    void start_upstream(const std::string& id)
    {
        register_upstream(id, {++clock_, false});
    }

    /// Has an upstream drain, or take its drain back.
    void set_draining(const std::string& id, bool is_draining)
    {
        const auto found = intents_.find(id);
        if (found != intents_.end()) {
            register_upstream(id, {found->second.started_at, is_draining});
        }
    }

    void stop_upstream(const std::string& id)
    {
        intents_.erase(id);
        remove(upstream_key_prefix + id);
    }

    void take_copy() { copy_ = state_; }

    /// Begins a new era with the state of the last copy, if there is any.
    void restore()
    {
        if (copy_) {
            state_ = *copy_;
            ++era_;
        }
    }

    void drop_history()
    {
        state_.history.clear();
        state_.history_start = state_.revision;
        has_dropped_history_ = true;
    }

    /// Has the operator or the upstream of a key write again what the store has
    /// lost, or the store remove a registration that nobody renews.
    void repair(const std::string& id)
    {
        const auto intent = intents_.find(id);
        const auto key = upstream_key_prefix + id;
        if (intent == intents_.end()) {
            remove(key);
            return;
        }
        const auto found = state_.items.find(key);
        const auto is_equal = found != state_.items.end() &&
                              decode_registration(found->second).started_at ==
                                  intent->second.started_at &&
                              decode_registration(found->second).is_draining ==
                                  intent->second.is_draining;
        if (!is_equal) {
            register_upstream(id, intent->second);
        }
    }

    void repair_configuration()
    {
        const auto found = state_.items.find(configuration_key);
        const auto value = std::to_string(version_);
        if (found == state_.items.end() || found->second.value != value) {
            write(configuration_key, value);
        }
    }

    [[nodiscard]] platform::store_response
    list(const std::optional<std::string>& after) const
    {
        platform::news_batch page;
        page.store_revision = state_.revision;
        for (auto each = state_.items.upper_bound(after.value_or(""));
             each != state_.items.end(); ++each) {
            if (page.items.size() == page_size) {
                page.next_page = page.items.back().key;
                break;
            }
            page.items.push_back(each->second);
        }
        return {std::move(page), stated_era()};
    }

    [[nodiscard]] platform::store_response watch(std::uint64_t after) const
    {
        if (after > state_.revision || after < state_.history_start) {
            return {platform::store_error::history_lost, stated_era()};
        }
        std::map<std::string, policy::store_item> changes;
        for (const auto& change : state_.history) {
            if (change.position.revision() > after) {
                changes[change.key] = change;
            }
        }
        platform::news_batch batch;
        batch.store_revision = state_.revision;
        for (const auto& [key, change] : changes) {
            batch.items.push_back(change);
        }
        return {std::move(batch), stated_era()};
    }

    [[nodiscard]] platform::stated_era stated_era() const
    {
        return {.number = era_, .is_malformed = false};
    }

private:
    /// What a copy of the store holds.
    struct state {
        std::uint64_t revision = 0;
        std::map<std::string, policy::store_item> items;
        std::vector<policy::store_item> history;
        /// Revision after which the changes are kept.
        std::uint64_t history_start = 0;
    };

    void register_upstream(const std::string& id, upstream_intent upstream)
    {
        intents_[id] = upstream;
        write(upstream_key_prefix + id,
              encode_registration(upstream, ++write_count_));
    }

    void write(const std::string& key, std::string value)
    {
        const policy::store_item item{
            key, std::move(value), {0, ++state_.revision}, false};
        state_.items[key] = item;
        state_.history.push_back(item);
    }

    void remove(const std::string& key)
    {
        if (state_.items.erase(key) > 0) {
            state_.history.push_back({key, "", {0, ++state_.revision}, true});
        }
    }

    state state_;
    std::optional<state> copy_;
    std::uint64_t era_ = policy::first_store_era;
    std::uint64_t version_ = 0;
    std::uint64_t write_count_ = 0;
    /// Start time of the latest incarnation of an upstream.
    std::uint64_t clock_ = 0;
    std::map<std::string, upstream_intent> intents_;
    bool has_dropped_history_ = false;
};

} // namespace tamarackhoist::node

#endif
