#include <tamarackhoist/upstreams/response_budget.hpp>

#include <cassert>
#include <utility>

namespace tamarackhoist::upstreams
{

namespace
{

/// Divides the budget into the largest share of one service.
constexpr std::size_t service_share_divisor = 2;

} // namespace

response_budget::response_budget(std::size_t max_bytes) : max_bytes_(max_bytes)
{
}

bool response_budget::try_take(std::string_view service, std::size_t bytes)
{
    const auto found = used_by_service_.find(service);
    const auto by_service = found == used_by_service_.end() ? 0 : found->second;
    if (used_ + bytes > max_bytes_ ||
        by_service + bytes > max_bytes_ / service_share_divisor) {
        return false;
    }
    used_ += bytes;
    used_by_service_[std::string(service)] += bytes;
    return true;
}

void response_budget::give_back(std::string_view service, std::size_t bytes)
{
    const auto found = used_by_service_.find(service);
    assert(found != used_by_service_.end() && found->second >= bytes);
    used_ -= bytes;
    found->second -= bytes;
    if (found->second == 0) {
        used_by_service_.erase(found);
    }
}

response_reservation::response_reservation(
    std::shared_ptr<response_budget> budget, std::string service)
    : budget_(std::move(budget)), service_(std::move(service))
{
}

response_reservation::~response_reservation()
{
    release();
}

bool response_reservation::grow_to(std::size_t bytes)
{
    if (budget_ == nullptr || bytes <= unreserved_bytes + reserved_) {
        return true;
    }
    const auto missing = bytes - unreserved_bytes - reserved_;
    if (!budget_->try_take(service_, missing)) {
        return false;
    }
    reserved_ += missing;
    return true;
}

void response_reservation::release()
{
    if (reserved_ > 0) {
        budget_->give_back(service_, std::exchange(reserved_, 0));
    }
}

} // namespace tamarackhoist::upstreams
