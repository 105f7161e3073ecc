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

// The macros below expect to stand in log4cxx's own namespace.
namespace helpers = log4cxx::helpers;
using log4cxx::AppenderSkeleton;

/// Queue of log text between the threads that log and the one that writes.
/// A reader that stops fills the queue; further lines are dropped and
/// counted, and no logging thread waits.
class log_queue
{
public:
    static constexpr std::size_t max_bytes = 1024 * 1024;

    void push(std::string_view line);

    /// Writes to `descriptor` until the process ends.
    void write_to(int descriptor);

    /// Waits until everything is written, for at most `patience_ms`.
    void flush(int patience_ms);

    [[nodiscard]] std::uint64_t dropped();

private:
    std::mutex mutex_;
    std::condition_variable has_lines_;
    std::condition_variable is_empty_;
    std::string lines_;
    bool is_writing_ = false;
    std::uint64_t dropped_ = 0;
};

/// Appender of log4cxx that hands formatted lines to a `log_queue`. Unlike
/// log4cxx's own asynchronous appender it neither waits for a stopped reader
/// at the end of the process nor hides how many lines were dropped.
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
