#include "model_node.hpp"
#include <array>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <ostream>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace tamarackhoist;
using namespace std::chrono_literals;
using node::model_node;
using node::model_store;

namespace
{

/// Action of one step of a random run. The numbers appear in the printed
/// counterexample of a failure.
enum class step_kind {
    publish_version,
    start_upstream,
    drain_upstream,
    end_drain,
    stop_upstream,
    leave,
    take_copy,
    restore,
    repair_upstream,
    repair_configuration,
    drop_history,
    /// The store works out its answer to a node's call.
    respond,
    /// The store's answer reaches the node, however old it is by then.
    deliver_response,
    respond_and_deliver,
    lose_response,
    refuse,
    /// The oldest message, or any, between nodes arrives.
    deliver_message,
    deliver_any_message,
    deliver_all_messages,
    lose_message,
    /// All answers and messages arrive, in order.
    catch_up,
    change_reader,
    restart_node,
    wait
};

constexpr int step_kind_count = static_cast<int>(step_kind::wait) + 1;
constexpr int max_gap_ms = 300;
constexpr auto quiet_step = 100ms;
constexpr auto quiet_time = 10s;
constexpr auto pull_interval = 100ms;
constexpr std::array upstream_ids{"a", "b", "c", "d", "e"};

struct step {
    step_kind kind = step_kind::wait;
    std::size_t target = 0;
    /// Time until the next step.
    int gap_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const step& each)
{
    return out << "{kind " << static_cast<int>(each.kind) << ", target "
               << each.target << ", then " << each.gap_ms << " ms}";
}

/// A message between two nodes. The nodes are named by their index.
struct message {
    enum class kind { push, pull, pulled };

    kind what = kind::push;
    std::size_t from = 0;
    std::size_t to = 0;
    std::string body;
    /// What the sender knew, to judge what the receiver does.
    node::withdrawals known;
    /// Version in force at the sender.
    std::uint64_t version = 0;
};

/// Nodes of two failure domains that follow a store, and the messages between
/// them. Nothing happens but by a step or, at the end, in order.
class restored_store_run
{
public:
    restored_store_run()
    {
        clock_.advance(1s);
        for (std::size_t index = 0; index < node_count; ++index) {
            start_node(index);
        }
        for (const auto reader : readers_) {
            nodes_[reader]->follow(true);
        }
    }

    void apply(const step& each)
    {
        const std::string id = upstream_ids[each.target % upstream_ids.size()];
        const auto index = each.target % node_count;
        switch (each.kind) {
        case step_kind::publish_version:
            store_.publish_version();
            break;
        case step_kind::start_upstream:
            store_.start_upstream(id);
            break;
        case step_kind::drain_upstream:
            store_.set_draining(id, true);
            break;
        case step_kind::end_drain:
            store_.set_draining(id, false);
            break;
        case step_kind::stop_upstream:
            store_.stop_upstream(id);
            break;
        case step_kind::leave:
            nodes_[index]->record_leaving(each.target / node_count);
            break;
        case step_kind::take_copy:
            store_.take_copy();
            break;
        case step_kind::restore:
            store_.restore();
            break;
        case step_kind::repair_upstream:
            store_.repair(id);
            break;
        case step_kind::repair_configuration:
            store_.repair_configuration();
            break;
        case step_kind::drop_history:
            store_.drop_history();
            break;
        case step_kind::respond:
            respond(index);
            break;
        case step_kind::deliver_response:
            deliver_response(index);
            break;
        case step_kind::respond_and_deliver:
            respond(index);
            deliver_response(index);
            break;
        case step_kind::lose_response:
            end_call(index, platform::store_error::unavailable);
            break;
        case step_kind::refuse:
            end_call(index,
                     {platform::store_error::refused, store_.stated_era()});
            break;
        case step_kind::deliver_message:
            deliver_message(0);
            break;
        case step_kind::deliver_any_message:
            deliver_message(each.target);
            break;
        case step_kind::deliver_all_messages:
            deliver_all_messages();
            break;
        case step_kind::lose_message:
            if (!messages_.empty()) {
                take_message(each.target);
            }
            break;
        case step_kind::catch_up:
            catch_up();
            break;
        case step_kind::change_reader:
            change_reader(index);
            break;
        case step_kind::restart_node:
            restart_node(index);
            break;
        case step_kind::wait:
            break;
        }
        advance(std::chrono::milliseconds(each.gap_ms));
    }

    /// Era of the store, after as many restores less one.
    [[nodiscard]] std::uint64_t era() const { return store_.era(); }
    [[nodiscard]] bool has_dropped_history() const
    {
        return store_.has_dropped_history();
    }
    /// Whether a node kept a version in force that the store had lost.
    [[nodiscard]] bool has_held_back() const { return has_held_back_; }
    /// Whether a node kept a listed upstream waiting for its confirmation.
    [[nodiscard]] bool has_withheld() const { return has_withheld_; }

    /// Ends all faults: what was written is written again, and calls and
    /// messages arrive.
    void finish()
    {
        store_.repair_configuration();
        for (const auto* id : upstream_ids) {
            store_.repair(id);
        }
        for (auto waited = 0ms; waited < quiet_time; waited += quiet_step) {
            catch_up();
            advance(quiet_step);
        }
        check_agreement();
    }

private:
    static constexpr std::size_t node_count = 5;
    /// The first nodes are one failure domain, the others a second one.
    static constexpr std::size_t first_domain_size = 3;

    static bool is_same_domain(std::size_t left, std::size_t right)
    {
        return (left < first_domain_size) == (right < first_domain_size);
    }

    /// What a node held at the last check.
    struct observed_state {
        policy::store_position position;
        std::uint64_t version = 0;
    };

    void start_node(std::size_t index)
    {
        nodes_[index] = std::make_unique<model_node>(
            std::to_string(index), context_, clock_.view(),
            model_node::hooks{
                .push = [this,
                         index](const auto& update) { push(index, update); },
                .pull =
                    [this, index](const std::string& name) {
                        pull(index, name);
                    }});
        observed_[index] = {};
        last_pull_at_[index] = {};
    }

    void restart_node(std::size_t index)
    {
        const bool is_reader = nodes_[index]->is_following();
        nodes_[index]->follow(false);
        nodes_[index]->call().reset();
        run_timers();
        std::erase_if(messages_, [index](const message& each) {
            return each.to == index;
        });
        start_node(index);
        nodes_[index]->follow(is_reader);
    }

    void change_reader(std::size_t index)
    {
        auto& reader = readers_[index < first_domain_size ? 0 : 1];
        const auto previous = std::exchange(reader, index);
        nodes_[index]->follow(true);
        if (previous != index) {
            nodes_[previous]->follow(false);
        }
    }

    void push(std::size_t from, const peers::store_update& update)
    {
        for (std::size_t to = 0; to < node_count; ++to) {
            if (to == from || !is_same_domain(from, to)) {
                continue;
            }
            messages_.push_back({message::kind::push,
                                 from,
                                 to,
                                 peers::encode_store_update(update),
                                 {},
                                 0});
        }
    }

    void pull(std::size_t from, const std::string& name)
    {
        const auto now = clock_.now();
        if (now - last_pull_at_[from] < pull_interval) {
            return;
        }
        last_pull_at_[from] = now;
        const auto to = name.empty() ? choose_peer(from) : std::stoull(name);
        messages_.push_back({message::kind::pull, from, to, {}, {}, 0});
    }

    /// Returns a peer in the same failure domain, another at each call.
    std::size_t choose_peer(std::size_t from)
    {
        auto peer = from;
        do {
            peer = ++choice_count_ % node_count;
        } while (peer == from || !is_same_domain(from, peer));
        return peer;
    }

    message take_message(std::size_t target)
    {
        const auto found = messages_.begin() + static_cast<std::ptrdiff_t>(
                                                   target % messages_.size());
        auto taken = std::move(*found);
        messages_.erase(found);
        return taken;
    }

    void deliver_message(std::size_t target)
    {
        if (messages_.empty()) {
            return;
        }
        const auto each = take_message(target);
        auto& receiver = *nodes_[each.to];
        if (each.what == message::kind::pull) {
            if (receiver.copy().is_complete()) {
                messages_.push_back(
                    {message::kind::pulled, each.to, each.from,
                     peers::encode_store_update(receiver.make_snapshot()),
                     receiver.known(), receiver.version()});
            }
            return;
        }
        const auto update = peers::decode_store_update(each.body);
        RC_ASSERT(update.has_value());
        if (each.what == message::kind::push) {
            receiver.apply_push(*update);
        } else {
            const bool is_current =
                update->position.era() >= receiver.copy().position().era();
            receiver.apply_pulled(*update, each.known);
            RC_ASSERT(!is_current || receiver.version() >= each.version);
        }
        run_timers();
        check_nodes();
    }

    void deliver_all_messages()
    {
        // Answers to pulls, which are sent meanwhile, arrive as well.
        while (!messages_.empty()) {
            deliver_message(0);
        }
    }

    void catch_up()
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            respond(index);
            deliver_response(index);
        }
        deliver_all_messages();
    }

    void respond(std::size_t index)
    {
        auto& call = nodes_[index]->call();
        if (call && !call->response) {
            call->response = call->is_list ? store_.list(call->after_key)
                                           : store_.watch(call->after_revision);
        }
    }

    void deliver_response(std::size_t index)
    {
        const auto& call = nodes_[index]->call();
        if (call && call->response) {
            end_call(index, *call->response);
        }
    }

    void end_call(std::size_t index, platform::store_response response)
    {
        auto& call = nodes_[index]->call();
        if (!call) {
            return;
        }
        const auto handle = std::move(call->handle);
        call.reset();
        handle(std::move(response));
        run_timers();
        check_nodes();
    }

    void run_timers()
    {
        context_.restart();
        context_.poll();
    }

    void advance(runtime::duration time)
    {
        clock_.advance(time);
        for (const auto& each : nodes_) {
            each->tick();
        }
        check_nodes();
    }

    void check_nodes()
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            check_node(*nodes_[index], observed_[index]);
        }
    }

    void check_node(model_node& node, observed_state& before)
    {
        const auto position = node.copy().position();
        RC_ASSERT(position >= before.position);
        RC_ASSERT(node.version() >= before.version);
        before = {position, node.version()};
        record_effects(node);
        for (const auto& upstream : node.ready()) {
            const auto& entry = upstream->registration;
            const bool offers_withdrawn =
                node.is_forbidden(entry) || node.has_left(entry);
            RC_ASSERT(!offers_withdrawn);
        }
        if (store_.has_dropped_history()) {
            return;
        }
        for (const auto& [era, lists_of_era] : node.list_counts()) {
            RC_ASSERT(lists_of_era <= 1);
        }
    }

    /// Records what of interest a run has led to, for the printed distribution.
    void record_effects(const model_node& node)
    {
        std::set<policy::store_position> ready;
        for (const auto& upstream : node.ready()) {
            ready.insert(upstream->registration.position);
        }
        for (const auto& item : node.copy().items()) {
            if (item.key == node::configuration_key) {
                has_held_back_ |= std::stoull(item.value) < node.version();
                continue;
            }
            const auto entry = node::decode_registration(item);
            has_withheld_ |= !entry.is_draining && !node.has_left(entry) &&
                             !ready.contains(entry.position);
        }
    }

    /// Checks that each node holds and offers what the store holds.
    void check_agreement()
    {
        std::vector<policy::store_item> stored;
        for (auto [key, item] : store_.items()) {
            item.position = {store_.era(), item.position.revision()};
            stored.push_back(std::move(item));
        }
        for (const auto& node : nodes_) {
            RC_ASSERT(node->copy().items() == stored);
            RC_ASSERT(node->version() == store_.version());
            check_upstreams(*node, stored);
        }
    }

    static void check_upstreams(const model_node& node,
                                std::span<const policy::store_item> stored)
    {
        std::vector<policy::registered_upstream> expected_ready;
        for (const auto& item : stored) {
            if (item.key == node::configuration_key) {
                continue;
            }
            const auto entry = node::decode_registration(item);
            if (!entry.is_draining && !node.has_left(entry)) {
                expected_ready.push_back(entry);
            }
        }
        std::vector<policy::registered_upstream> ready;
        for (const auto& upstream : node.ready()) {
            ready.push_back(upstream->registration);
        }
        RC_ASSERT(ready == expected_ready);
    }

    runtime::paused_clock clock_;
    boost::asio::io_context context_;
    model_store store_;
    std::deque<message> messages_;
    std::array<std::unique_ptr<model_node>, node_count> nodes_;
    std::array<observed_state, node_count> observed_{};
    std::array<runtime::time_point, node_count> last_pull_at_{};
    /// The node of each failure domain that reads the store.
    std::array<std::size_t, 2> readers_{0, first_domain_size};
    std::size_t choice_count_ = 0;
    bool has_held_back_ = false;
    bool has_withheld_ = false;
};

rc::Gen<step_kind> generate_kind()
{
    // Without many answers and messages nodes would learn nothing between two
    // changes, and without drills after changes nothing would go back.
    return rc::gen::weightedOneOf<step_kind>(
        {{6,
          rc::gen::map(rc::gen::inRange(0, step_kind_count),
                       [](int kind) { return static_cast<step_kind>(kind); })},
         {6, rc::gen::just(step_kind::respond_and_deliver)},
         {4, rc::gen::just(step_kind::catch_up)},
         {2, rc::gen::just(step_kind::deliver_all_messages)},
         {1, rc::gen::just(step_kind::take_copy)},
         {1, rc::gen::just(step_kind::restore)}});
}

rc::Gen<step> generate_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind, generate_kind()),
        rc::gen::set(&step::target, rc::gen::inRange<std::size_t>(0, 60)),
        rc::gen::set(&step::gap_ms, rc::gen::inRange(0, max_gap_ms)));
}

void nodes_follow_a_restored_store()
{
    const bool holds = rc::check("nodes follow a restored store", [] {
        const auto steps = *rc::gen::scale(
            3.0, rc::gen::container<std::vector<step>>(generate_step()));
        const bool drops_history = *rc::gen::arbitrary<bool>();
        restored_store_run run;
        for (const auto& each : steps) {
            if (each.kind == step_kind::drop_history && !drops_history) {
                continue;
            }
            run.apply(each);
        }
        run.finish();
        RC_CLASSIFY(run.era() > policy::first_store_era, "restored");
        RC_CLASSIFY(run.era() > policy::first_store_era + 1,
                    "restored more than once");
        RC_CLASSIFY(run.has_dropped_history(), "history dropped");
        RC_CLASSIFY(run.has_held_back(), "version held back");
        RC_CLASSIFY(run.has_withheld(), "upstream withheld");
    });
    cr_assert(holds);
}

} // namespace

Test(restored_store_fuzz, nodes_follow_a_restored_store)
{
    nodes_follow_a_restored_store();
}
