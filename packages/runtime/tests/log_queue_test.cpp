#include "bounded_appender.hpp"
#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>

#include <criterion/criterion.h>

using namespace tamarackhoist;

namespace
{

/// A queue that writes to a pipe. The writing thread runs until the process
/// exits, so the pipe is never closed.
class log_pipe
{
public:
    log_pipe()
    {
        cr_assert_eq(::pipe(ends_.data()), 0);
        std::thread([queue = queue, end = ends_[1]] {
            queue->write_to(end);
        }).detach();
    }

    /// Reads until `text` appears in the output. Returns false on a read error.
    bool read_until(const std::string& text)
    {
        std::array<char, 4096> buffer{};
        std::string output;
        while (output.find(text) == std::string::npos) {
            const auto size = ::read(ends_[0], buffer.data(), buffer.size());
            if (size <= 0) {
                return false;
            }
            // Keep only the tail in which the text may begin.
            output.erase(0,
                         output.size() - std::min(output.size(), text.size()));
            output.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return true;
    }

    std::shared_ptr<runtime::log_queue> queue =
        std::make_shared<runtime::log_queue>();

private:
    std::array<int, 2> ends_{};
};

/// If the reader of the log stops, the pipe and then the queue fill up. Logging
/// must not block: further lines are dropped and counted, and logging continues
/// when the output is read again.
void a_stopped_reader_does_not_block_logging()
{
    log_pipe pipe;
    const std::string line(100, 'x');
    constexpr int line_count = 50'000;
    // Five times the capacity of the queue. A call that waited for the reader
    // would block forever, since the reader starts after the last line.
    for (int index = 0; index < line_count; ++index) {
        pipe.queue->push(line + "\n");
    }
    const auto dropped = pipe.queue->dropped_lines();
    cr_assert_gt(dropped, 0U);
    cr_assert_lt(dropped, static_cast<std::uint64_t>(line_count));
    std::thread reader([&] {
        // The mark follows the accepted lines, which fill the queue and the
        // pipe.
        cr_assert(pipe.read_until("mark\n"));
    });
    // The queue accepts lines again as soon as the reader has freed space.
    auto dropped_before = pipe.queue->dropped_lines();
    pipe.queue->push("mark\n");
    while (pipe.queue->dropped_lines() != dropped_before) {
        dropped_before = pipe.queue->dropped_lines();
        std::this_thread::yield();
        pipe.queue->push("mark\n");
    }
    reader.join();
    constexpr int flush_timeout_ms = 5000;
    pipe.queue->flush(flush_timeout_ms);
    const auto dropped_at_end = pipe.queue->dropped_lines();
    pipe.queue->push("after\n");
    cr_assert(pipe.read_until("after\n"));
    cr_assert_eq(pipe.queue->dropped_lines(), dropped_at_end);
}

void lines_arrive_in_order()
{
    log_pipe pipe;
    pipe.queue->push("one\n");
    pipe.queue->push("two\n");
    cr_assert(pipe.read_until("one\ntwo\n"));
    cr_assert_eq(pipe.queue->dropped_lines(), 0U);
}

} // namespace

Test(log_queue, stopped_reader, .timeout = 60)
{
    a_stopped_reader_does_not_block_logging();
}
Test(log_queue, order, .timeout = 60)
{
    lines_arrive_in_order();
}
