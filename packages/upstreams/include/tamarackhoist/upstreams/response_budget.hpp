#ifndef TAMARACKHOIST_UPSTREAMS_RESPONSE_BUDGET_HPP
#define TAMARACKHOIST_UPSTREAMS_RESPONSE_BUDGET_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace tamarackhoist::upstreams
{

/// Limits the memory that the unfinished responses of all connections of a node
/// hold together. One service may hold at most half of it, so that its faulty
/// upstreams leave room for the others. Not thread-safe.
class response_budget
{
public:
    /// `max_bytes` is the limit over all services.
    explicit response_budget(std::size_t max_bytes);

    /// Takes `bytes` for a response of `service`. Returns false, and takes
    /// nothing, if a limit would be exceeded.
    [[nodiscard]] bool try_take(std::string_view service, std::size_t bytes);

    /// Returns bytes that were taken for `service`.
    void give_back(std::string_view service, std::size_t bytes);

    /// Bytes that are taken at present.
    [[nodiscard]] std::size_t used() const { return used_; }

private:
    const std::size_t max_bytes_;
    std::size_t used_ = 0;
    std::map<std::string, std::size_t, std::less<>> used_by_service_;
};

/// The part of a budget that one response has taken. It is given back on
/// destruction.
class response_reservation
{
public:
    /// Bytes that each response may hold without a reservation, so that
    /// ordinary responses never compete for the budget.
    static constexpr std::size_t unreserved_bytes = 64 * 1024;

    /// `budget` may be null, which means that there is no limit.
    response_reservation(std::shared_ptr<response_budget> budget,
                         std::string service);
    ~response_reservation();
    response_reservation(const response_reservation&) = delete;
    response_reservation& operator=(const response_reservation&) = delete;

    /// Extends the reservation to a response of `bytes` so far. Returns false
    /// if the budget is exhausted.
    [[nodiscard]] bool grow_to(std::size_t bytes);

    /// Gives everything back.
    void release();

private:
    const std::shared_ptr<response_budget> budget_;
    const std::string service_;
    std::size_t reserved_ = 0;
};

} // namespace tamarackhoist::upstreams

#endif
