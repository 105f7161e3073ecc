#ifndef TAMARACKHOIST_NODE_FORWARDED_REQUEST_HPP
#define TAMARACKHOIST_NODE_FORWARDED_REQUEST_HPP

#include "fan_out_parts.hpp"
#include "request_report.hpp"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <tamarackhoist/node/forwarding.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <vector>

namespace tamarackhoist::node
{

/// One request on its way: carries out what the coordinator decides.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
    forwarded_request(std::shared_ptr<forwarding> shared,
                      std::shared_ptr<const policy::routing_table> routes,
                      const policy::route& of,
                      std::shared_ptr<callers::forward_exchange> exchange);

    void start();

private:
    struct running_attempt {
        std::weak_ptr<upstreams::forward_pool> pool;
        upstreams::forward_pool::exchange_id ticket = 0;
        /// Index of the relay's call, if it went through one.
        std::optional<std::size_t> relay_call;
        /// Kept for requests to one service only.
        std::optional<transport::http_response> response;
    };
    /// An attempt that was decided and is not sent yet.
    struct outgoing_attempt {
        policy::attempt_key key;
        std::string upstream;
        std::string failure_domain;
    };
    struct relay_call {
        relay_call_id id;
        std::vector<policy::attempt_key> keys;
        runtime::time_point started;
        /// Whether the relay must report by the end of its gathering.
        bool is_gathering = false;
        bool is_heard = false;
        bool is_over = false;
    };

    [[nodiscard]] policy::forward_times make_times() const;
    [[nodiscard]] std::vector<std::string> choose_services() const;
    void flush_outbox();
    void send_to_domain(std::span<const outgoing_attempt> attempts);
    void send_directly(const outgoing_attempt& outgoing);
    void send_through(policy::node_id relay,
                      std::span<const outgoing_attempt> attempts);
    void note_reach(const std::string& failure_domain,
                    upstreams::forward_status status);
    void relay_replied(std::size_t call, const peers::relay_reply& reply);
    void relay_lost(std::size_t call);
    void arm_silence_timer(runtime::duration delay);
    void check_silence();
    void cancel(policy::attempt_key key);
    void flush_cancellations();
    void decided();
    void ended(policy::attempt_key key, upstreams::forward_result result);
    void finish(policy::forward_outcome outcome);
    void arm_timer();
    [[nodiscard]] callers::forward_answer
    make_final_answer(policy::forward_outcome outcome) const;
    [[nodiscard]] running_attempt& attempt(policy::attempt_key key);
    [[nodiscard]] const running_attempt& attempt(policy::attempt_key key) const;

    const std::shared_ptr<forwarding> shared_;
    /// Keeps the route alive.
    const std::shared_ptr<const policy::routing_table> routes_;
    const policy::route& route_;
    const std::shared_ptr<callers::forward_exchange> exchange_;
    const policy::forward_times times_;
    const std::string head_;
    const std::string request_id_;
    const request_summary summary_;
    boost::asio::steady_timer timer_;
    runtime::time_point armed_for_{};
    boost::asio::steady_timer silence_timer_;
    std::vector<std::vector<running_attempt>> attempts_;
    std::vector<outgoing_attempt> outbox_;
    /// Shards to give up, by call.
    std::map<std::size_t, std::vector<std::uint32_t>> cancellations_;
    std::vector<relay_call> relay_calls_;
    fan_out_parts parts_;
    bool is_first_send_ = true;
    std::optional<policy::forward_coordinator> coordinator_;
};

} // namespace tamarackhoist::node

#endif
