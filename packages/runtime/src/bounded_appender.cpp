#include "bounded_appender.hpp"

#include <cerrno>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <unistd.h>

namespace tamarackhoist::runtime
{

void log_queue::push(std::string_view line)
{
    const std::lock_guard guard(mutex_);
    if (lines_.size() + line.size() > max_bytes) {
        ++dropped_lines_;
        return;
    }
    const bool was_empty = lines_.empty();
    lines_.append(line);
    if (was_empty && !is_writing_) {
        lines_available_.notify_one();
    }
}

void log_queue::write_to(int descriptor)
{
    std::string batch;
    while (true) {
        {
            std::unique_lock lock(mutex_);
            is_writing_ = false;
            if (lines_.empty()) {
                drained_.notify_all();
            }
            lines_available_.wait(lock, [this] { return !lines_.empty(); });
            is_writing_ = true;
            batch.swap(lines_);
        }
        std::size_t written = 0;
        while (written < batch.size()) {
            const auto size = ::write(descriptor, batch.data() + written,
                                      batch.size() - written);
            if (size < 0 && errno == EINTR) {
                continue;
            }
            if (size <= 0) {
                // The output is not writable, for example because its reader
                // has closed it. The lines are lost.
                break;
            }
            written += static_cast<std::size_t>(size);
        }
        batch.clear();
    }
}

void log_queue::flush(int timeout_ms)
{
    std::unique_lock lock(mutex_);
    drained_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                      [this] { return lines_.empty() && !is_writing_; });
}

std::uint64_t log_queue::dropped_lines()
{
    const std::lock_guard guard(mutex_);
    return dropped_lines_;
}

bounded_appender::bounded_appender(const log4cxx::LayoutPtr& layout,
                                   std::shared_ptr<log_queue> queue)
    : queue_(std::move(queue))
{
    setLayout(layout);
}

void bounded_appender::append(const log4cxx::spi::LoggingEventPtr& event,
                              log4cxx::helpers::Pool& pool)
{
    if (queue_ == nullptr) {
        return;
    }
    log4cxx::LogString formatted;
    getLayout()->format(formatted, event, pool);
    LOG4CXX_ENCODE_CHAR(line, formatted);
    queue_->push(line);
}

// Must come last, since the macro opens a namespace that hides log4cxx.
IMPLEMENT_LOG4CXX_OBJECT(bounded_appender)

} // namespace tamarackhoist::runtime
