#include <tamarackhoist/policy/peer_inquiry.hpp>

namespace tamarackhoist::policy
{

void peer_inquiry::start(runtime::time_point now)
{
    answers_missing_ = answers_needed;
    started_at_ = now;
}

bool peer_inquiry::try_ask(runtime::time_point now)
{
    const bool is_over = answers_missing_ == 0 || now - started_at_ >= timeout;
    if (is_over || now - last_asked_at_ < interval) {
        return false;
    }
    last_asked_at_ = now;
    return true;
}

void peer_inquiry::record_answer()
{
    if (answers_missing_ > 0) {
        --answers_missing_;
    }
}

} // namespace tamarackhoist::policy
