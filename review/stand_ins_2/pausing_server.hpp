#ifndef TAMARACKHOIST_REVIEW_PAUSING_SERVER_HPP
#define TAMARACKHOIST_REVIEW_PAUSING_SERVER_HPP

#include "stage.hpp"

namespace review
{

/// Longest time that a requester waits, and the route's timeout.
constexpr std::chrono::milliseconds request_timeout{6000};

/// Returns a configuration with one route, for requests that run at most once,
/// to the service "orders".
[[nodiscard]] std::string make_orders_configuration();

/// A server of the service "orders" that can turn requests away and ask for a
/// pause with Retry-After. It serves what reaches it all the same.
class pausing_server
{
public:
    pausing_server(std::string name, std::chrono::seconds pause, record& notes);

    [[nodiscard]] const endpoint& address() const
    {
        return listener_.address();
    }

    /// From now on, no request is answered.
    void stall();
    /// Turns away all requests that have arrived so far and are not answered;
    /// later ones are served.
    void wake();
    /// Turns away the next `count` requests.
    void turn_away(int count);
    [[nodiscard]] bool has_turned_away() const;

    /// Notes how many requests reached the server in the time that the rule
    /// speaks of, for each machine that was asked for a pause: from half a
    /// second after its first such answer to the end of the pause. Returns the
    /// largest number, or nothing if no machine was asked.
    std::optional<std::size_t> count_arrivals_in_pause();

private:
    struct arrival {
        std::string machine;
        steady::time_point at;
    };

    void serve(connection& caller);
    std::string answer(const std::string& id, steady::time_point arrived_at);

    const std::string name_;
    const std::chrono::seconds pause_;
    record& notes_;
    std::atomic<bool> is_stalled_{false};
    mutable std::mutex mutex_;
    int left_to_turn_away_ = 0;
    std::optional<steady::time_point> woke_at_;
    /// Time of the first 503 with Retry-After by machine.
    std::map<std::string, steady::time_point> pauses_;
    std::vector<arrival> arrivals_;
    listener listener_;
};

/// Two gateways and requesters that send orders to them all the time.
class orders_stage
{
public:
    orders_stage(const store& platform, record& notes);
    ~orders_stage();
    orders_stage(const orders_stage&) = delete;
    orders_stage& operator=(const orders_stage&) = delete;

    /// Whether both gateways got ready.
    [[nodiscard]] bool start();
    /// Lets the requesters finish.
    void stop();

private:
    void call_steadily(const endpoint& target, const std::string& name);

    const scratch_folder folder_;
    record& notes_;
    std::atomic<bool> is_over_{false};
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<std::thread> callers_;
};

/// Returns the exit code of a case on the rule about Retry-After.
[[nodiscard]] int judge_pause(pausing_server& asked, record& notes);

} // namespace review

#endif
