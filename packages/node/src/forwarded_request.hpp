#ifndef TAMARACKHOIST_NODE_FORWARDED_REQUEST_HPP
#define TAMARACKHOIST_NODE_FORWARDED_REQUEST_HPP

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <tamarackhoist/node/forwarding.hpp>
#include <tamarackhoist/policy/forward_coordinator.hpp>
#include <tamarackhoist/runtime/event.hpp>
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
        upstreams::forward_pool::ticket ticket = 0;
        std::optional<transport::http_response> response;
    };

    [[nodiscard]] policy::forward_times make_times() const;
    [[nodiscard]] std::vector<std::string> choose_services() const;
    void send(policy::attempt_key key, const policy::upstream_handle& upstream);
    void cancel(policy::attempt_key key);
    void ended(policy::attempt_key key, upstreams::forward_result result);
    void finish(policy::forward_outcome outcome);
    void report(policy::forward_outcome outcome);
    void log_decision(const policy::attempt_decision& decision);
    void log_outcome(runtime::event_number number,
                     policy::forward_outcome outcome,
                     runtime::duration elapsed) const;
    void log_missing_shards() const;
    void arm_timer();
    [[nodiscard]] callers::forward_answer
    make_final_answer(policy::forward_outcome outcome) const;
    [[nodiscard]] upstreams::forward_request
    make_request(const std::string& upstream_id) const;
    [[nodiscard]] const running_attempt&
    attempt(policy::attempt_key key) const;

    const std::shared_ptr<forwarding> shared_;
    /// Keeps the route alive.
    const std::shared_ptr<const policy::routing_table> routes_;
    const policy::route& route_;
    const std::shared_ptr<callers::forward_exchange> exchange_;
    const policy::forward_times times_;
    const std::string head_;
    const std::string request_id_;
    boost::asio::steady_timer timer_;
    runtime::time_point armed_for_{};
    std::vector<std::vector<running_attempt>> attempts_;
    std::optional<policy::forward_coordinator> coordinator_;
};

} // namespace tamarackhoist::node

#endif
