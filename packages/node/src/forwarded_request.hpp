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

/// One request that is being forwarded. Performs the I/O for the attempts,
/// cancellations and the answer that the coordinator decides on.
class forwarded_request : public std::enable_shared_from_this<forwarded_request>
{
public:
    forwarded_request(std::shared_ptr<forwarding> shared,
                      std::shared_ptr<const policy::routing_table> routes,
                      const policy::route& route,
                      std::shared_ptr<callers::forward_exchange> exchange);
    ~forwarded_request();
    forwarded_request(const forwarded_request&) = delete;
    forwarded_request& operator=(const forwarded_request&) = delete;

    void start();
    /// Answers with what is known of the request, because the node stops.
    void end_early();

private:
    /// An attempt that was sent, to an upstream's pool or through a relay.
    struct running_attempt {
        std::weak_ptr<upstreams::forward_pool> pool;
        upstreams::forward_pool::exchange_id ticket = 0;
        /// Index into `relay_calls_`, if the attempt went through a relay.
        std::optional<std::size_t> relay_call;
        /// Set only for requests to a single service.
        std::optional<transport::http_response> response;
    };
    /// An attempt that the coordinator started and that is not sent yet.
    struct outgoing_attempt {
        policy::attempt_key key;
        std::string upstream;
        std::string failure_domain;
    };
    /// A call that sends several attempts through one relay.
    struct relay_call {
        relay_call_id id;
        std::vector<policy::attempt_key> keys;
        runtime::time_point started;
        /// Whether the relay must send its first reply by the end of its
        /// batching window.
        bool has_reply_timeout = false;
        bool has_replied = false;
        /// Whether no further reply is expected: the call ended or timed out.
        bool is_closed = false;
    };

    [[nodiscard]] policy::forward_times compute_times() const;
    [[nodiscard]] std::vector<std::string> choose_services() const;
    void flush_outbox();
    void send_to_domain(std::span<const outgoing_attempt> attempts);
    void send_directly(const outgoing_attempt& outgoing);
    void send_via_relay(policy::node_id relay,
                        std::span<const outgoing_attempt> attempts);
    void record_reachability(const std::string& failure_domain,
                             upstreams::forward_status status);
    void handle_relay_reply(std::size_t call, const peers::relay_reply& reply);
    void handle_relay_failure(std::size_t call);
    void arm_relay_timer(runtime::duration delay);
    void check_relay_timeouts();
    void cancel(policy::attempt_key key);
    void flush_cancellations();
    /// Sends the attempts and cancellations that the coordinator's hooks have
    /// queued, and arms the timer for its next wake-up. To be called after
    /// each call to the coordinator.
    void apply_decisions();
    void handle_result(policy::attempt_key key,
                       upstreams::forward_result result);
    void finish(policy::forward_outcome outcome);
    void arm_wake_timer();
    /// Returns the time until the first paused upstream of the request takes
    /// requests again; zero if none is paused.
    [[nodiscard]] runtime::duration time_until_return() const;
    [[nodiscard]] callers::forward_answer
    make_final_answer(policy::forward_outcome outcome) const;
    [[nodiscard]] running_attempt& find_attempt(policy::attempt_key key);
    [[nodiscard]] const running_attempt&
    find_attempt(policy::attempt_key key) const;

    const std::shared_ptr<forwarding> shared_;
    /// Owns the table that `route_` refers to.
    const std::shared_ptr<const policy::routing_table> routes_;
    const policy::route& route_;
    const std::shared_ptr<callers::forward_exchange> exchange_;
    const policy::forward_times times_;
    const std::string request_head_;
    const std::string request_id_;
    const request_summary summary_;
    boost::asio::steady_timer wake_timer_;
    runtime::time_point armed_wake_time_{};
    boost::asio::steady_timer relay_timer_;
    std::vector<std::vector<running_attempt>> attempts_;
    std::vector<outgoing_attempt> outbox_;
    /// Shards whose attempts are to be cancelled, by index of the relay call.
    std::map<std::size_t, std::vector<std::uint32_t>> cancellations_;
    std::vector<relay_call> relay_calls_;
    fan_out_parts answers_;
    bool is_first_batch_ = true;
    std::optional<policy::forward_coordinator> coordinator_;
};

} // namespace tamarackhoist::node

#endif
