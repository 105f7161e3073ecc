#ifndef TAMARACKHOIST_RUNTIME_BOUNDED_APPENDER_HPP
#define TAMARACKHOIST_RUNTIME_BOUNDED_APPENDER_HPP

#include <condition_variable>
#include <cstdint>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/helpers/class.h>
#include <memory>
#include <mutex>
#include <string>

namespace tamarackhoist::runtime
{

// The log4cxx macros below use these names without their namespace.
namespace helpers = log4cxx::helpers;
using log4cxx::AppenderSkeleton;

/// Bounded queue between the threads that log and the thread that writes to the
/// output. If the reader of the output stops, the queue fills up; further lines
/// are then dropped and counted, so that logging never blocks. Thread-safe.
class log_queue
{
public:
    static constexpr std::size_t max_bytes = 1024 * 1024;

    /// Adds `line`, which ends in a line feed, or drops it if the queue is
    /// full.
    void push(std::string_view line);

    /// Writes queued lines to the file descriptor. Never returns.
    void write_to(int descriptor);

    /// Waits until all queued lines are written, for at most `timeout_ms`
    /// milliseconds.
    void flush(int timeout_ms);

    /// Returns the number of dropped lines.
    [[nodiscard]] std::uint64_t dropped_lines();

private:
    std::mutex mutex_;
    std::condition_variable lines_available_;
    std::condition_variable drained_;
    std::string lines_;
    bool is_writing_ = false;
    std::uint64_t dropped_lines_ = 0;
};

/// log4cxx appender that passes formatted lines to a `log_queue`. Unlike the
/// asynchronous appender of log4cxx, it does not wait for a stopped reader when
/// the process exits, and it reports how many lines were dropped.
class bounded_appender : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_LOG4CXX_OBJECT(bounded_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(bounded_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    bounded_appender() = default;
    bounded_appender(const log4cxx::LayoutPtr& layout,
                     std::shared_ptr<log_queue> queue);

    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool& pool) override;

private:
    std::shared_ptr<log_queue> queue_;
};

} // namespace tamarackhoist::runtime

#endif
