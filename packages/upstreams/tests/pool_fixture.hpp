#ifndef TAMARACKHOIST_UPSTREAMS_POOL_FIXTURE_HPP
#define TAMARACKHOIST_UPSTREAMS_POOL_FIXTURE_HPP

#include "scripted_upstream.hpp"
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <tamarackhoist/upstreams/forward_pool.hpp>
#include <vector>

namespace tamarackhoist::upstreams
{

/// A pool of connections to one scripted upstream.
class pool_fixture
{
public:
    explicit pool_fixture(scripted_upstream::script script,
                          std::size_t connections = 1)
        : upstream(context, std::move(script)),
          pool(std::make_shared<forward_pool>(
              context, runtime::clock::boot(),
              forward_pool::options{
                  .connection = {.target = upstream.listen_endpoint(),
                                 .responses = {.request_id_field = "X-Id"}},
                  .max_connections = [connections] { return connections; },
                  .warm_connections = [] { return std::size_t(0); },
                  .may_send =
                      [this] {
                          return takes_requests;
                      }}))
    {
    }

    std::uint64_t send(const std::string& id, std::uint32_t priority = 0,
                       connection_use use = connection_use::any)
    {
        return pool->send(
            priority, use,
            [id] {
                return forward_request{
                    "GET / HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\n\r\n", id,
                    false};
            },
            [this, id](forward_result result) {
                ended_ids.push_back(id);
                results.push_back(std::move(result));
            });
    }

    /// Processes events until `count` requests have ended, for at most a
    /// second.
    void run_until(std::size_t count)
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(1);
        while (results.size() < count &&
               std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(10));
        }
        if (results.size() != count) {
            throw std::runtime_error(std::to_string(results.size()) +
                                     " requests have ended");
        }
    }

    /// Processes events for 50 ms.
    void process_events()
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
        while (std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(5));
        }
    }

    bool takes_requests = true;
    boost::asio::io_context context;
    scripted_upstream upstream;
    std::shared_ptr<forward_pool> pool;
    /// IDs of the requests that have ended, in the order of `results`.
    std::vector<std::string> ended_ids;
    std::vector<forward_result> results;
};

} // namespace tamarackhoist::upstreams

#endif
